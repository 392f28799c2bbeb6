#include "load/latency_histogram.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace hawthornstall::tools {

void latency_histogram::add(core::duration_ms latency) {
    const auto ms = static_cast<std::uint64_t>(std::max<std::int64_t>(0, latency.count()));
    ++buckets_.at(std::min(bucket_of(ms), buckets_.size() - 1));
    ++count_;
    max_latency_ = std::max(max_latency_, latency);
}

core::duration_ms latency_histogram::quantile(double share) const {
    const auto wanted = static_cast<std::uint64_t>(std::ceil(share * static_cast<double>(count_)));
    std::uint64_t seen = 0;
    for (std::size_t bucket = 0; bucket < buckets_.size(); ++bucket) {
        seen += buckets_.at(bucket);
        if (seen >= wanted && seen > 0) {
            const core::duration_ms bound{static_cast<std::int64_t>(upper_bound(bucket))};
            return std::min(bound, max_latency_);
        }
    }
    return max_latency_;
}

std::string latency_histogram::format_bars() const {
    constexpr std::uint64_t bar_length = 50;
    std::string text;
    for (std::size_t power = 0; power < powers; ++power) {
        const auto* const first = buckets_.begin() + power * buckets_per_power;
        std::uint64_t bucket_count = 0;
        std::for_each(first, first + buckets_per_power, [&](auto count) { bucket_count += count; });
        if (bucket_count > 0) {
            const auto bound = upper_bound((power + 1) * buckets_per_power - 1);
            auto label = "<= " + std::to_string(bound) + " ms";
            label.resize(std::max<std::size_t>(label.size(), 16), ' ');
            auto number = std::to_string(bucket_count);
            number.resize(std::max<std::size_t>(number.size(), 10), ' ');
            text.append(label).append(number);
            text.append(std::max<std::uint64_t>(1, bucket_count * bar_length / count_), '#')
                .append("\n");
        }
    }
    return text;
}

std::size_t latency_histogram::bucket_of(std::uint64_t ms) {
    if (ms < buckets_per_power) {
        return ms;
    }
    // The three bits after the leading one choose the bucket within the power of two.
    constexpr unsigned resolution_bits = 3;
    const auto shift = static_cast<unsigned>(std::bit_width(ms)) - 1 - resolution_bits;
    return (shift + 1) * buckets_per_power + (ms >> shift) - buckets_per_power;
}

std::uint64_t latency_histogram::upper_bound(std::size_t bucket) {
    if (bucket < buckets_per_power) {
        return bucket;
    }
    const auto shift = bucket / buckets_per_power - 1;
    return ((buckets_per_power + bucket % buckets_per_power + 1) << shift) - 1;
}

} // namespace hawthornstall::tools
