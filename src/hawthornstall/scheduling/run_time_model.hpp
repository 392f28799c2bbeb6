#pragma once

/// Learned run times per task class and learned speeds of targets.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/scheduling/ids.hpp"

#include <cstdint>
#include <unordered_map>

namespace hawthornstall::scheduling {

/// Relative speed of one target, learned from the run times seen there. The unit is the speed of
/// a target of which nothing is known.
class learned_speed {
public:
    [[nodiscard]] double value() const noexcept { return 1.0 / relative_duration_; }

    /// Takes the ratio of a seen run time to the run time expected at speed 1.
    void observe(double relative_duration) noexcept;

private:
    double relative_duration_ = 1.0;
    std::uint32_t samples_ = 0;
};

/// Run times per task class. A class is a team and a power-of-two range of declared run times;
/// within a class the declared value is corrected by a learned factor.
class run_time_model {
public:
    /// `default_run_time` stands in for tasks without a declared run time.
    explicit run_time_model(core::duration_ms default_run_time);

    void set_default(core::duration_ms default_run_time) { default_ = default_run_time; }

    /// Expected run time in ms at speed 1.
    [[nodiscard]] double expected_ms(team_id team, core::duration_ms declared) const;

    /// True when the class has enough samples for decisions that refuse work.
    [[nodiscard]] bool is_learned(team_id team, core::duration_ms declared) const;

    /// Like expected_ms, with the mean of the service for classes that are not learned.
    [[nodiscard]] double learned_or_mean_ms(team_id team, core::duration_ms declared) const;

    /// Mean run time in ms at speed 1 over the recent tasks of the service.
    [[nodiscard]] double mean_ms() const noexcept { return mean_ms_; }

    /// Learns from an answered task. The speed is learned only once the class is, because the
    /// error of a declared run time would otherwise be taken for the speed of the target.
    void observe(team_id team, core::duration_ms declared, core::duration_ms seen,
                 learned_speed& speed);

private:
    struct task_class {
        double factor = 1.0;
        std::uint32_t samples = 0;
    };

    [[nodiscard]] core::duration_ms prior(core::duration_ms declared) const;
    [[nodiscard]] const task_class* find(team_id team, core::duration_ms declared) const;

    core::duration_ms default_;
    double mean_ms_;
    std::uint32_t samples_ = 0;
    std::unordered_map<std::uint64_t, task_class> classes_;
};

} // namespace hawthornstall::scheduling
