#pragma once

/// Identifiers that a scheduler and its dispatcher share. They are valid within one scheduler only.

#include <cstdint>

namespace hawthornstall::scheduling {

/// A job, numbered by the dispatcher. A number must not be reused while its job is open.
enum class job_id : std::uint64_t {};

/// A target, numbered by the scheduler. A number is reused once its target has been removed and the
/// last attempt on it has ended.
enum class target_id : std::uint32_t {};

/// A team, or a caller without one: the unit of quotas and fair share. Numbers are not reused.
enum class team_id : std::uint32_t {};

/// One attempt at a task: a slot of the attempt table and the generation of that slot. The
/// generation grows with each reuse of the slot, so that a late report about an earlier attempt is
/// not taken for one about the current attempt.
struct attempt_id {
    std::uint32_t slot = 0;
    std::uint32_t generation = 0;

    bool operator==(const attempt_id&) const = default;
    bool operator<(const attempt_id& other) const noexcept {
        return slot != other.slot ? slot < other.slot : generation < other.generation;
    }
};

} // namespace hawthornstall::scheduling
