#include "hawthornstall/scheduling/run_time_model.hpp"

#include <algorithm>
#include <bit>

namespace hawthornstall::scheduling {
namespace detail {

/// Weight of the initial estimate, as a number of samples.
constexpr std::uint32_t prior_samples = 2;
/// Samples that an estimate averages over; it adapts to a lasting change within about as many.
constexpr std::uint32_t window_samples = 32;
/// The same for the mean over all tasks. It needs more samples because the run times of a service
/// spread over two orders of magnitude.
constexpr std::uint32_t mean_window_samples = 1024;
/// Samples after which a class counts as learned.
constexpr std::uint32_t learned_samples = 16;
/// Bounds of a learned relative duration, and so of a speed. Beyond them the target is faulty, not
/// merely slow or fast.
constexpr double min_relative_duration = 1.0 / 16.0;
constexpr double max_relative_duration = 16.0;

/// Counts one more sample and returns its weight in the estimate: an average over all samples at
/// first, an exponential moving average once there are `window` of them.
double learning_rate(std::uint32_t& samples, std::uint32_t window = window_samples) {
    samples = std::min(samples + 1, window);
    return 1.0 / (samples + prior_samples);
}

/// Key of a task class: the team and the number of bits of the declared run time in ms.
std::uint64_t class_key(team_id team, core::duration_ms declared) {
    const auto magnitude = std::bit_width(static_cast<std::uint64_t>(declared.count()));
    return (static_cast<std::uint64_t>(team) << 8U) | static_cast<std::uint64_t>(magnitude);
}

} // namespace detail

void learned_speed::observe(double relative_duration) noexcept {
    const double bounded =
        std::clamp(relative_duration, detail::min_relative_duration, detail::max_relative_duration);
    relative_duration_ += (bounded - relative_duration_) * detail::learning_rate(samples_);
}

run_time_model::run_time_model(core::duration_ms default_run_time)
    : default_(default_run_time), mean_ms_(static_cast<double>(default_run_time.count())) {}

core::duration_ms run_time_model::declared_or_default(core::duration_ms declared) const {
    return std::max(declared.count() > 0 ? declared : default_, core::duration_ms{1});
}

const run_time_model::task_class* run_time_model::find(team_id team,
                                                       core::duration_ms declared) const {
    const auto found = classes_.find(detail::class_key(team, declared_or_default(declared)));
    return found == classes_.end() ? nullptr : &found->second;
}

double run_time_model::expected_ms(team_id team, core::duration_ms declared) const {
    const auto* learned_class = find(team, declared);
    const auto base_ms = static_cast<double>(declared_or_default(declared).count());
    return learned_class == nullptr ? base_ms : base_ms * learned_class->factor;
}

bool run_time_model::is_learned(team_id team, core::duration_ms declared) const {
    const auto* learned_class = find(team, declared);
    return learned_class != nullptr && learned_class->samples >= detail::learned_samples;
}

double run_time_model::learned_or_mean_ms(team_id team, core::duration_ms declared) const {
    return is_learned(team, declared) ? expected_ms(team, declared) : mean_ms_;
}

void run_time_model::observe(team_id team, core::duration_ms declared, core::duration_ms observed,
                             learned_speed& speed) {
    const auto base_ms = static_cast<double>(declared_or_default(declared).count());
    const double observed_ms = std::max(1.0, static_cast<double>(observed.count()));
    auto& learned_class = classes_[detail::class_key(team, declared_or_default(declared))];
    const bool was_learned = learned_class.samples >= detail::learned_samples;
    const double predicted_ms = base_ms * learned_class.factor;
    const double work_ms = observed_ms * speed.value();
    learned_class.factor +=
        (work_ms / base_ms - learned_class.factor) * detail::learning_rate(learned_class.samples);
    mean_ms_ += (work_ms - mean_ms_) * detail::learning_rate(samples_, detail::mean_window_samples);
    if (was_learned) {
        speed.observe(observed_ms / predicted_ms);
    }
}

} // namespace hawthornstall::scheduling
