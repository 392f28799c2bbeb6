#pragma once

/// How a stand-in target treats the tasks that it is sent.

#include "hawthornstall/core/ms_clock.hpp"

#include <concepts>
#include <cstdint>
#include <string_view>

namespace hawthornstall::tools {

/// How a task ends.
enum class task_ending : std::uint8_t {
    echo,       ///< Answers 200 with the payload.
    failure,    ///< Answers 500.
    silence,    ///< Never answers.
    short_body, ///< Announces a longer body than it sends, and closes.
};

/// What happens to one task.
struct task_plan {
    core::duration_ms run_time{};
    task_ending ending = task_ending::echo;

    bool operator==(const task_plan&) const = default;
};

/// Decides on the plan of a task from its nominal run time.
template <class Behaviour>
concept task_behaviour = requires(Behaviour behaviour, core::duration_ms run_time) {
    { behaviour.plan(run_time) } -> std::same_as<task_plan>;
};

/// Runs every task for its nominal time and echoes the payload.
struct normal_behaviour {
    task_plan plan(core::duration_ms run_time) { return {run_time, task_ending::echo}; }
};

/// Fails every task at once, as a broken worker that would attract all work does.
struct failing_behaviour {
    task_plan plan(core::duration_ms) { return {{}, task_ending::failure}; }
};

/// Starts tasks and never answers.
struct hanging_behaviour {
    task_plan plan(core::duration_ms run_time) { return {run_time, task_ending::silence}; }
};

/// Runs tasks and cuts the answers.
struct short_body_behaviour {
    task_plan plan(core::duration_ms run_time) { return {run_time, task_ending::short_body}; }
};

/// Takes much longer over every task.
struct straggling_behaviour {
    static constexpr int slow_down = 10;

    task_plan plan(core::duration_ms run_time) { return {run_time * slow_down, task_ending::echo}; }
};

/// Nominal run time on a target of `speed` (2.0 halves it): the number after a leading "run_ms=" of
/// the payload, or `fallback`.
[[nodiscard]] core::duration_ms nominal_run_time(std::string_view payload,
                                                 core::duration_ms fallback, double speed);

} // namespace hawthornstall::tools
