#include "hawthornstall/scheduling/run_time_model.hpp"

#include <algorithm>
#include <bit>

namespace hawthornstall::scheduling {
namespace detail {

/// The prior counts as this many samples.
constexpr std::uint32_t prior_samples = 2;
/// Samples over which an estimate averages; it follows a lasting change within about as many.
constexpr std::uint32_t memory_samples = 32;
/// The same for the mean of the service, whose run times spread over two orders of magnitude.
constexpr std::uint32_t mean_memory_samples = 1024;
/// Samples after which a class counts as learned.
constexpr std::uint32_t learned_samples = 16;
/// Bounds of a learned speed. Outside of them a target is a fault, not a slow machine.
constexpr double min_relative_duration = 1.0 / 16.0;
constexpr double max_relative_duration = 16.0;

double gain(std::uint32_t& samples, std::uint32_t memory = memory_samples) {
    samples = std::min(samples + 1, memory);
    return 1.0 / (samples + prior_samples);
}

std::uint64_t class_key(team_id team, core::duration_ms declared) {
    const auto magnitude = std::bit_width(static_cast<std::uint64_t>(declared.count()));
    return (static_cast<std::uint64_t>(team) << 8U) | static_cast<std::uint64_t>(magnitude);
}

} // namespace detail

void learned_speed::observe(double relative_duration) noexcept {
    const double bounded =
        std::clamp(relative_duration, detail::min_relative_duration, detail::max_relative_duration);
    relative_duration_ += (bounded - relative_duration_) * detail::gain(samples_);
}

run_time_model::run_time_model(core::duration_ms default_run_time)
    : default_(default_run_time), mean_ms_(static_cast<double>(default_run_time.count())) {}

core::duration_ms run_time_model::prior(core::duration_ms declared) const {
    return std::max(declared.count() > 0 ? declared : default_, core::duration_ms{1});
}

const run_time_model::task_class* run_time_model::find(team_id team,
                                                       core::duration_ms declared) const {
    const auto found = classes_.find(detail::class_key(team, prior(declared)));
    return found == classes_.end() ? nullptr : &found->second;
}

double run_time_model::expected_ms(team_id team, core::duration_ms declared) const {
    const auto* known = find(team, declared);
    const auto base = static_cast<double>(prior(declared).count());
    return known == nullptr ? base : base * known->factor;
}

bool run_time_model::is_learned(team_id team, core::duration_ms declared) const {
    const auto* known = find(team, declared);
    return known != nullptr && known->samples >= detail::learned_samples;
}

double run_time_model::learned_or_mean_ms(team_id team, core::duration_ms declared) const {
    return is_learned(team, declared) ? expected_ms(team, declared) : mean_ms_;
}

void run_time_model::observe(team_id team, core::duration_ms declared, core::duration_ms seen,
                             learned_speed& speed) {
    const auto base = static_cast<double>(prior(declared).count());
    const double seen_ms = std::max(1.0, static_cast<double>(seen.count()));
    auto& known = classes_[detail::class_key(team, prior(declared))];
    const bool was_learned = known.samples >= detail::learned_samples;
    const double expected = base * known.factor;
    const double work = seen_ms * speed.value();
    known.factor += (work / base - known.factor) * detail::gain(known.samples);
    mean_ms_ += (work - mean_ms_) * detail::gain(samples_, detail::mean_memory_samples);
    if (was_learned) {
        speed.observe(seen_ms / expected);
    }
}

} // namespace hawthornstall::scheduling
