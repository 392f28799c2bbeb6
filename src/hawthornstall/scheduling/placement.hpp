#pragma once

/// Placement policies: whether a task takes the fastest free target or waits for a faster one.

#include <concepts>
#include <cstdint>

namespace hawthornstall::scheduling {

/// The fastest target that is free, and the faster ones, all of which are busy.
struct placement_choice {
    double free_speed = 1.0;   ///< Learned speed of the free target.
    double busy_speed = 0.0;   ///< Sum of the speeds of the faster slots; 0 when there are none.
    double busy_slots = 0.0;   ///< Number of the faster slots.
    double mean_ms = 0.0;      ///< Mean run time at speed 1, for the wait of a busy slot.
    double expected_ms = 0.0;  ///< Run time of the task at speed 1.
    std::uint64_t pending = 0; ///< Queued tasks, this one included.
    double held_ms = 0.0;      ///< How long the queue has been waiting for a faster target.
};

template <class Policy>
concept placement_policy = requires(const Policy policy, const placement_choice& choice) {
    { policy.takes_free_target(choice) } -> std::same_as<bool>;
};

/// Never leaves a target idle while tasks wait.
struct fastest_free {
    [[nodiscard]] bool takes_free_target(const placement_choice& /*choice*/) const { return true; }
};

/// Leaves a slow target idle while the faster ones would end all queued tasks earlier than it ends
/// one. The whole queue counts, not only its head: a head that waits alone would hold up the rest.
struct wait_for_faster {
    [[nodiscard]] bool takes_free_target(const placement_choice& choice) const {
        if (choice.busy_slots <= 0.0) {
            return true;
        }
        const double free_end = choice.expected_ms / choice.free_speed;
        if (choice.held_ms >= free_end) {
            return true; // The faster targets did not become free as expected.
        }
        const double fast_end =
            static_cast<double>(choice.pending) * choice.mean_ms / choice.busy_speed +
            choice.expected_ms * choice.busy_slots / choice.busy_speed;
        return free_end <= fast_end;
    }
};

static_assert(placement_policy<fastest_free>);
static_assert(placement_policy<wait_for_faster>);

} // namespace hawthornstall::scheduling
