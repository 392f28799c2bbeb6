#pragma once

/// One type over the schedulers among which a service document chooses.

#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/core/target.hpp"
#include "hawthornstall/scheduling/queue_order.hpp"
#include "hawthornstall/scheduling/scheduler.hpp"
#include "hawthornstall/scheduling/slot_capacity.hpp"
#include "hawthornstall/scheduling/worker_capacity.hpp"

#include <string_view>
#include <variant>

namespace hawthornstall::entry {

/// Holds the scheduling::scheduler with the queue order and the capacity model of the document. The
/// members without a comment of their own forward to the scheduler's member of the same name.
class service_scheduler {
public:
    explicit service_scheduler(const core::service_document& document);

    /// Whether the change of the document affects the queue order, the capacity model or the task's
    /// resource request, which a scheduler keeps for its lifetime.
    [[nodiscard]] static bool needs_replacement(const core::service_document& before,
                                                const core::service_document& after);

    void apply(const core::service_document& document);
    void set_target(std::string_view name, const core::target_capacity& capacity, bool available);
    void remove_target(std::string_view name);
    [[nodiscard]] std::string_view target_name(scheduling::target_id target) const;
    void submit(scheduling::job_id job, const scheduling::job_terms& terms, core::time_ms now);
    void cancel(scheduling::job_id job);
    void sent(scheduling::attempt_id attempt, core::time_ms now);
    void not_sent(scheduling::attempt_id attempt, scheduling::not_sent_cause cause,
                  core::time_ms now);
    void finished(scheduling::attempt_id attempt, scheduling::attempt_result result,
                  core::time_ms now);
    void decide(core::time_ms now, scheduling::decisions& out);
    [[nodiscard]] std::uint64_t queued_tasks() const;
    [[nodiscard]] std::size_t attempts_in_flight() const;
    [[nodiscard]] std::size_t ejected_targets() const;

private:
    using implementation = std::variant<
        scheduling::scheduler<scheduling::first_in_first_out, scheduling::slot_capacity>,
        scheduling::scheduler<scheduling::fair_share, scheduling::slot_capacity>,
        scheduling::scheduler<scheduling::fewest_remaining, scheduling::slot_capacity>,
        scheduling::scheduler<scheduling::first_in_first_out, scheduling::worker_capacity>,
        scheduling::scheduler<scheduling::fair_share, scheduling::worker_capacity>,
        scheduling::scheduler<scheduling::fewest_remaining, scheduling::worker_capacity>>;

    [[nodiscard]] static implementation make(const core::service_document& document);

    implementation implementation_;
};

} // namespace hawthornstall::entry
