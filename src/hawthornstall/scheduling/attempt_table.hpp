#pragma once

/// Attempts in flight.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/scheduling/ids.hpp"
#include "hawthornstall/scheduling/job_state.hpp"

#include <optional>
#include <vector>

namespace hawthornstall::scheduling {

/// One attempt in flight. `job` is null once the result is no longer wanted.
struct attempt_state {
    job_state* job = nullptr;
    team_id team{};
    std::uint32_t task = 0;
    core::duration_ms declared{};
    target_id target{};
    core::time_ms begin{};
    std::optional<attempt_id> twin; ///< The other attempt of a hedged task.
    std::optional<core::time_ms> hedge_at;
    std::optional<std::uint32_t> previous; ///< Neighbours in the list of the job.
    std::optional<std::uint32_t> next;
};

/// Attempts by identifier, and the list of each job's attempts. All operations are O(1).
class attempt_table {
public:
    /// Adds an attempt and links it to its job.
    [[nodiscard]] attempt_id add(const attempt_state& attempt);

    /// Null when the attempt has ended.
    [[nodiscard]] attempt_state* find(attempt_id id);

    /// Identifier of the attempt in a slot that is in use.
    [[nodiscard]] attempt_id id_at(std::uint32_t slot) const {
        return {slot, slots_[slot].generation};
    }

    /// Takes the attempt out of its job's list; its result is no longer wanted.
    void detach(attempt_id id);

    /// Ends an attempt.
    void erase(attempt_id id);

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
