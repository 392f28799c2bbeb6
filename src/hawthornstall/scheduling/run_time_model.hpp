#pragma once

/// Learned run times per task class and learned speeds of targets.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/scheduling/ids.hpp"

#include <cstdint>
#include <unordered_map>

namespace hawthornstall::scheduling {

/// Relative speed of one target, learned from the run times observed there. A target without
/// observations has speed 1.
class learned_speed {
public:
    [[nodiscard]] double value() const noexcept { return 1.0 / relative_duration_; }

    /// Learns from the ratio of an observed run time to the run time expected at speed 1.
    void observe(double relative_duration) noexcept;

private:
    double relative_duration_ = 1.0; ///< Estimate of that ratio: the inverse of the speed.
    std::uint32_t samples_ = 0;
};

/// Estimates run times per task class. A class is a team and a power-of-two range of declared run
/// times. The estimate is the declared run time times a factor that is learned per class.
class run_time_model {
public:
    /// `default_run_time` is used for tasks without a declared run time.
    explicit run_time_model(core::duration_ms default_run_time);

    void set_default(core::duration_ms default_run_time) { default_ = default_run_time; }

    /// Expected run time in ms at speed 1.
    [[nodiscard]] double expected_ms(team_id team, core::duration_ms declared) const;

    /// Whether the class has enough samples to refuse work because of the estimate.
    [[nodiscard]] bool is_learned(team_id team, core::duration_ms declared) const;

    /// Expected run time in ms at speed 1 if the class is learned, otherwise mean_ms().
    [[nodiscard]] double learned_or_mean_ms(team_id team, core::duration_ms declared) const;

    /// Mean run time in ms at speed 1 over the recent tasks of all classes.
    [[nodiscard]] double mean_ms() const noexcept { return mean_ms_; }

    /// Learns from an answered task that took `observed` on a target of speed `speed`. The speed is
    /// updated only once the class is learned; before that, the error of the declared run time
    /// would be taken for the speed of the target.
    void observe(team_id team, core::duration_ms declared, core::duration_ms observed,
                 learned_speed& speed);

private:
    struct task_class {
        double factor = 1.0; ///< Actual / declared run time at speed 1.
        std::uint32_t samples = 0;
    };

    [[nodiscard]] core::duration_ms declared_or_default(core::duration_ms declared) const;
    [[nodiscard]] const task_class* find(team_id team, core::duration_ms declared) const;

    core::duration_ms default_;
    double mean_ms_;
    std::uint32_t samples_ = 0;
    std::unordered_map<std::uint64_t, task_class> classes_;
};

} // namespace hawthornstall::scheduling
