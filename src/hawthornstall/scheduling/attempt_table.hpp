#pragma once

/// The table of the attempts in flight.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/scheduling/ids.hpp"
#include "hawthornstall/scheduling/job_state.hpp"

#include <optional>
#include <vector>

namespace hawthornstall::scheduling {

/// One attempt in flight.
struct attempt_state {
    job_state* job = nullptr; ///< Null once the result is no longer wanted.
    team_id team{};
    std::uint32_t task = 0;       ///< Index within the job.
    core::duration_ms declared{}; ///< Run time that the caller declared; 0 if unknown.
    target_id target{};
    core::time_ms sent_at{}; ///< When it was sent; the time of the start decision until then.
    std::optional<attempt_id> other_attempt; ///< Set while a hedged task has two attempts.
    std::optional<core::time_ms> hedge_at;   ///< When to hedge the attempt, if at all.
    std::optional<std::uint32_t> previous;   ///< Previous attempt in the job's list, by slot.
    std::optional<std::uint32_t> next;       ///< Next attempt in that list, by slot.
};

/// Looks up attempts by identifier and keeps a doubly linked list of the attempts of each job. All
/// operations are O(1).
class attempt_table {
public:
    /// Adds an attempt and inserts it into the list of its job, which must not be null.
    [[nodiscard]] attempt_id add(const attempt_state& attempt);

    /// Returns null if the attempt has ended. The pointer is valid until the next add().
    [[nodiscard]] attempt_state* find(attempt_id id);

    /// Identifier of the attempt in `slot`, which must be in use.
    [[nodiscard]] attempt_id id_at(std::uint32_t slot) const {
        return {slot, slots_[slot].generation};
    }

    /// Removes the attempt from the list of its job and sets `job` to null: its result is no longer
    /// wanted. The attempt stays in the table.
    void detach(attempt_id id);

    /// Removes an attempt from its job and from the table. Its slot gets a new generation, so that
    /// `id` is never found again.
    void erase(attempt_id id);

    /// Attempts in the table, with those whose result is no longer wanted.
    [[nodiscard]] std::size_t size() const { return slots_.size() - unused_.size(); }

private:
    struct slot {
        attempt_state attempt;
        std::uint32_t generation = 0;
        bool used = false;
    };

    std::vector<slot> slots_;
    std::vector<std::uint32_t> unused_;
};

} // namespace hawthornstall::scheduling
