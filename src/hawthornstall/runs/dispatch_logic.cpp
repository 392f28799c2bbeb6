#include "hawthornstall/runs/dispatch_logic.hpp"

#include "hawthornstall/core/request_numbers.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// After a longer stall of this process, other hosts may have considered it lost and chosen another
/// scheduler.
constexpr core::duration_ms stall_limit{500};

/// Longest interval between two presence messages to other entry hosts.
constexpr core::duration_ms presence_interval{1'000};

/// Name of the log record of a change of a link.
constexpr std::string_view event_of(net::link_change change) {
    switch (change) {
    case net::link_change::reachable:
        return "peer_reachable";
    case net::link_change::interrupted:
        return "peer_interrupted";
    case net::link_change::unreachable:
        break;
    }
    return "peer_unreachable";
}

} // namespace detail

dispatch_event link_event(std::string_view peer, net::link_change change,
                          const net::link_condition& condition) {
    const bool reachable = change == net::link_change::reachable;
    return {.level = reachable ? core::log_level::info : core::log_level::warning,
            .name = detail::event_of(change),
            .peer = std::string{peer},
            .detail = net::describe(condition)};
}

dispatch_logic::dispatch_logic(const discovery::host_record& host, run_bounds bounds,
                               std::uint64_t incarnation, std::uint64_t host_bits,
                               core::time_ms now, placement_policy policy)
    : hosts_({.host = host, .leaving = false, .held_targets = {}}),
      front_end_(core::last_earlier_number(incarnation), now),
      cancellations_(core::last_earlier_number(incarnation)),
      scheduler_(core::last_earlier_number(incarnation), policy), holder_(bounds, host_bits, now) {}

void dispatch_logic::deliver(const std::string& from, run_message message, core::time_ms now) {
    std::visit([&](auto& content) { on_message(from, std::move(content), now); }, message);
}

void dispatch_logic::on_message(const std::string& from, submit_job&& message, core::time_ms now) {
    scheduler_.submit(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const cancel_job& message,
                                core::time_ms now) {
    scheduler_.cancel(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const job_ended& message,
                                core::time_ms now) {
    front_end_.ended(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const grant_run& message,
                                core::time_ms /*now*/) {
    (void)front_end_.granted(from, message);
}

void dispatch_logic::on_message(const std::string& from, const start_run& message,
                                core::time_ms now) {
    holder_.start(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const stop_run& message,
                                core::time_ms now) {
    holder_.stop(from, message, now);
}

void dispatch_logic::on_message(const std::string& /*from*/, const run_ended& message,
                                core::time_ms now) {
    scheduler_.on_run_ended(message, now);
}

void dispatch_logic::on_message(const std::string& from, const target_report& message,
                                core::time_ms now) {
    scheduler_.report(from, message, now);
}

void dispatch_logic::on_message(const std::string& /*from*/, const host_presence& message,
                                core::time_ms now) {
    hosts_.on_presence(message);
    // Jobs that other hosts send because of the same change may follow immediately.
    update_scheduler(now);
}

void dispatch_logic::on_message(const std::string& from, const revoke_runs& message,
                                core::time_ms now) {
    holder_.revoke(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const stop_submission& message,
                                core::time_ms now) {
    holder_.stop_submission_of(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const cancel_by_id& message,
                                core::time_ms now) {
    scheduler_.cancel_named(from, message, now);
}

void dispatch_logic::on_message(const std::string& from, const cancel_result& message,
                                core::time_ms /*now*/) {
    cancellations_.answered(from, message);
}

void dispatch_logic::link_changed(std::string_view peer, net::link_change change,
                                  core::time_ms now) {
    if (change == net::link_change::unreachable) {
        reachable_.erase(std::string{peer});
        hosts_.unreachable(peer);
        if (hosts_.others().empty()) {
            hosts_.reset_own_role();
        }
    } else {
        reachable_.emplace(peer);
    }
    if (change != net::link_change::reachable) {
        end_joint_work(peer, now);
    }
    if (change != net::link_change::unreachable) {
        scheduler_.host_reachable(peer);
        // The other hosts know this one already.
        effects_.messages[std::string{peer}].push_back(current_presence());
    }
}

/// Ends the jobs and runs that this host and `peer` work on together: each may have missed a
/// message of the other about them.
void dispatch_logic::end_joint_work(std::string_view peer, core::time_ms now) {
    holder_.scheduler_unreachable(peer, now);
    holder_.front_end_unreachable(peer, now);
    scheduler_.host_unreachable(peer, now);
    front_end_.host_unreachable(peer, hosts_.scheduler(), now);
    cancellations_.host_unreachable(peer);
    update_scheduler(now);
}

void dispatch_logic::on_tick(core::time_ms now, core::time_ms wall) {
    if (now - last_tick_ > detail::stall_limit) {
        hosts_.reset_own_role();
    }
    last_tick_ = now;
    directory_.tick(now);
    update_scheduler(now);
    front_end_.tick(now);
    cancellations_.tick(now);
    holder_.tick(directory_, hosts_, now, wall);
    if (now >= presence_due_) {
        send_presence(now);
    }
}

void dispatch_logic::update_scheduler(core::time_ms now) {
    const bool begins = hosts_.update_own_role(now);
    const auto scheduler = hosts_.scheduler();
    if (begins) {
        scheduler_.start_scheduling();
        send_presence(now);
    } else if (scheduler != self()) {
        scheduler_.stop_scheduling();
    }
    if (scheduler == last_scheduler_) {
        return;
    }
    last_scheduler_ = scheduler;
    effects_.events.push_back(
        {.name = "scheduler_chosen", .peer = scheduler.value_or(std::string{})});
    if (scheduler) {
        front_end_.scheduler_changed(*scheduler, now);
    }
}

const host_presence& dispatch_logic::current_presence() {
    hosts_.self().held_targets = holder_.held();
    return hosts_.self();
}

void dispatch_logic::send_presence(core::time_ms now) {
    presence_due_ = now + detail::presence_interval;
    const auto& presence = current_presence();
    for (const auto& name : reachable_) {
        effects_.messages[name].push_back(presence);
    }
}

void dispatch_logic::open(std::uint64_t request, job_request job, core::time_ms arrived,
                          core::time_ms now) {
    front_end_.open(request, std::move(job), hosts_.scheduler(), arrived, now);
}

void dispatch_logic::caller_left(std::uint64_t request, core::time_ms now) {
    front_end_.caller_left(request, now);
}

void dispatch_logic::cancel(std::uint64_t request, const std::string& id, core::time_ms now) {
    // The request to the scheduler goes first: it knows the callers at all front ends, while the
    // end of a submission takes back this front end's own only.
    const auto scheduler = hosts_.scheduler();
    cancellations_.open(request, id, scheduler, now);
    take_cancellation_effects();
    if (front_end_.cancel(id, now)) {
        cancellations_.found_here(request);
    }
}

void dispatch_logic::answered(const target_call& call, const call_answer& answer,
                              core::time_ms now) {
    holder_.answered(call, answer, now);
}

void dispatch_logic::set_drained_zones(std::span<const std::string> zones) {
    scheduler_.set_drained_zones(zones);
    holder_.set_drained_zones(zones);
}

void dispatch_logic::leave(core::time_ms now) {
    hosts_.self().leaving = true;
    send_presence(now);
}

bool dispatch_logic::idle() const {
    return front_end_.idle() && scheduler_.idle() && holder_.idle();
}

/// Carries the messages between the three parts of this host until none is left.
dispatch_effects dispatch_logic::take_effects(core::time_ms now) {
    do {
        while (!local_messages_.empty()) {
            auto message = std::move(local_messages_.front());
            local_messages_.pop_front();
            if (std::holds_alternative<start_run>(message)) {
                holder_.front_end_alive(self(), {now, now});
            }
            deliver(self(), std::move(message), now);
        }
        scheduler_.place(now);
        take_scheduler_effects();
        take_holder_effects(now);
        take_front_end_effects();
        take_cancellation_effects();
    } while (!local_messages_.empty());
    return std::exchange(effects_, {});
}

void dispatch_logic::take_scheduler_effects() {
    auto scheduled = scheduler_.take_effects();
    for (auto& event : scheduled.events) {
        effects_.events.push_back({.name = event.what,
                                   .id = std::move(event.job),
                                   .detail = std::move(event.detail),
                                   .age = event.age});
    }
    route(scheduled.messages);
}

void dispatch_logic::take_holder_effects(core::time_ms now) {
    auto held = holder_.take_effects();
    for (auto& [target, event] : held.events) {
        effects_.events.push_back({.name = event.what,
                                   .id = std::move(event.job),
                                   .peer = std::move(target),
                                   .detail = std::move(event.detail)});
    }
    std::ranges::move(held.calls, std::back_inserter(effects_.calls));
    route(held.messages);
    if (held.held_changed) {
        send_presence(now);
    }
}

void dispatch_logic::take_front_end_effects() {
    auto answered = front_end_.take_effects();
    for (auto& event : answered.events) {
        effects_.events.push_back({.name = event.what,
                                   .id = std::move(event.job),
                                   .peer = std::move(event.scheduler),
                                   .detail = std::move(event.detail)});
    }
    std::ranges::move(answered.answers, std::back_inserter(effects_.answers));
    route(answered.messages);
}

void dispatch_logic::take_cancellation_effects() {
    auto cancelled = cancellations_.take_effects();
    std::ranges::move(cancelled.answers, std::back_inserter(effects_.cancellations));
    route(cancelled.messages);
}

void dispatch_logic::route(std::vector<addressed_message>& messages) {
    for (auto& item : messages) {
        if (item.host == self()) {
            local_messages_.push_back(std::move(item.message));
        } else {
            effects_.messages[item.host].push_back(std::move(item.message));
        }
    }
}

} // namespace hawthornstall::runs
