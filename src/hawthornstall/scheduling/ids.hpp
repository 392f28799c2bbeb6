#pragma once

/// Identifiers of the decision code. They are small numbers, valid within one scheduler only.

#include <cstdint>

namespace hawthornstall::scheduling {

/// A job, numbered by the dispatcher. A number is not used again while its job is known.
enum class job_id : std::uint64_t {};

/// A known target, numbered by the scheduler. Reused after removal.
enum class target_id : std::uint32_t {};

/// A team (or caller) with queued or running work.
enum class team_id : std::uint32_t {};

/// One start of one task. The generation tells a late report about an earlier user of the slot
/// from one about the current user.
struct attempt_id {
    std::uint32_t slot = 0;
    std::uint32_t generation = 0;

    bool operator==(const attempt_id&) const = default;
    bool operator<(const attempt_id& other) const noexcept {
        return slot != other.slot ? slot < other.slot : generation < other.generation;
    }
};

} // namespace hawthornstall::scheduling
