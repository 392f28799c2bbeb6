#include "hawthornstall/scheduling/speed_index.hpp"

#include <algorithm>
#include <bit>
#include <cmath>

namespace hawthornstall::scheduling {

std::uint8_t speed_index::bucket_of(double speed) {
    constexpr double buckets_per_doubling = 8.0;
    constexpr double middle = bucket_count / 2.0;
    const double bucket = std::floor(std::log2(speed) * buckets_per_doubling + middle);
    return static_cast<std::uint8_t>(std::clamp(bucket, 0.0, bucket_count - 1.0));
}

void speed_index::add(target_id target, std::uint8_t bucket,
                      std::vector<speed_position>& positions) {
    auto& targets = buckets_[bucket];
    auto& position = positions[static_cast<std::size_t>(target)];
    position.bucket = bucket;
    position.index_in_bucket = static_cast<std::uint32_t>(targets.size());
    targets.push_back(target);
    occupied_ |= std::uint64_t{1} << bucket;
}

void speed_index::remove(target_id target, std::vector<speed_position>& positions) {
    auto& position = positions[static_cast<std::size_t>(target)];
    auto& targets = buckets_[position.bucket];
    const auto last = targets.back();
    targets[*position.index_in_bucket] = last;
    positions[static_cast<std::size_t>(last)].index_in_bucket = position.index_in_bucket;
    targets.pop_back();
    position.index_in_bucket.reset();
    if (targets.empty()) {
        occupied_ &= ~(std::uint64_t{1} << position.bucket);
    }
}

std::optional<target_id> speed_index::pick_from(std::size_t bucket,
                                                std::optional<target_id> avoid) {
    const auto& targets = buckets_[bucket];
    for (std::size_t trial = 0; trial < 2; ++trial) {
        const auto target = targets[next_turn_++ % targets.size()];
        if (target != avoid) {
            return target;
        }
    }
    return std::nullopt;
}

std::optional<target_id> speed_index::pick(std::optional<target_id> avoid) {
    for (auto remaining = occupied_; remaining != 0;) {
        const auto bucket = static_cast<std::size_t>(std::bit_width(remaining) - 1);
        if (const auto target = pick_from(bucket, avoid)) {
            return target;
        }
        remaining &= ~(std::uint64_t{1} << bucket);
    }
    return occupied_ == 0 ? std::nullopt : avoid;
}

} // namespace hawthornstall::scheduling
