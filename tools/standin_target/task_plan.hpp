#pragma once

/// Behaviours of a stand-in target, which decide how its tasks end.

#include "hawthornstall/core/ms_clock.hpp"

#include <concepts>
#include <cstdint>
#include <string_view>

namespace hawthornstall::tools {

/// How a task ends.
enum class task_ending : std::uint8_t {
    echo,       ///< Answers 200 with the payload.
    failure,    ///< Answers 500.
    no_answer,  ///< Never answers.
    short_body, ///< States a longer body than it sends, and closes the connection.
};

/// Run time and ending of one task.
struct task_plan {
    core::duration_ms run_time{};
    task_ending ending = task_ending::echo;

    bool operator==(const task_plan&) const = default;
};

/// A policy that plans a task from its nominal run time.
template <class Behaviour>
concept task_behaviour = requires(Behaviour behaviour, core::duration_ms run_time) {
    { behaviour.plan(run_time) } -> std::same_as<task_plan>;
};

/// Runs every task for its nominal time and echoes the payload.
struct normal_behaviour {
    task_plan plan(core::duration_ms run_time) { return {run_time, task_ending::echo}; }
};

/// Fails every task at once, like a broken worker that attracts work because it is always free.
struct failing_behaviour {
    task_plan plan(core::duration_ms) { return {{}, task_ending::failure}; }
};

/// Starts tasks and never answers.
struct hanging_behaviour {
    task_plan plan(core::duration_ms run_time) { return {run_time, task_ending::no_answer}; }
};

/// Runs tasks and truncates the answers.
struct short_body_behaviour {
    task_plan plan(core::duration_ms run_time) { return {run_time, task_ending::short_body}; }
};

/// Runs every task for ten times its nominal time.
struct straggling_behaviour {
    static constexpr int slowdown_factor = 10;

    task_plan plan(core::duration_ms run_time) {
        return {run_time * slowdown_factor, task_ending::echo};
    }
};

/// Returns the run time of a task on a target of `speed` (2.0 halves it): the number after a
/// leading "run_ms=" of the payload, or else `fallback`, divided by `speed`.
[[nodiscard]] core::duration_ms nominal_run_time(std::string_view payload,
                                                 core::duration_ms fallback, double speed);

} // namespace hawthornstall::tools
