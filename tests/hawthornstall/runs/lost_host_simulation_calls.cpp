#include "hawthornstall/runs/lost_host_simulation.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace hawthornstall::runs {

using core::duration_ms;

void lost_host_simulation::call_target(const std::string& host, const target_call& call) {
    calls_.push_back({.due = now_ + network_delay,
                      .host = host,
                      .call = call,
                      .answer = {},
                      .process = hosts_.at(host).process});
}

void lost_host_simulation::deliver_calls() {
    const auto due = std::stable_partition(calls_.begin(), calls_.end(),
                                           [&](const auto& item) { return item.due > now_; });
    std::vector<pending_call> arrived{std::make_move_iterator(due),
                                      std::make_move_iterator(calls_.end())};
    calls_.erase(due, calls_.end());
    for (auto& item : arrived) {
        if (!item.answer) {
            execute(item);
            continue;
        }
        auto& host = hosts_.at(item.host);
        if (item.process != host.process) {
            continue;
        }
        if (is_running(item.host)) {
            host.logic.answered(item.call, *item.answer, local(item.host));
            host.has_input = true;
        } else if (is_frozen(item.host)) {
            host.unread_calls.push_back(std::move(item));
        }
    }
}

/// Executes a call that has arrived at its target and sends the answer.
void lost_host_simulation::execute(pending_call& item) {
    const auto& call = item.call;
    const bool is_stop = std::holds_alternative<stop_call>(call.request);
    const bool is_executed = is_path_up(item.host, call.target) && is_running(call.target) &&
                             (scenario_.stops_answered || !is_stop);
    item.answer = call_answer{.fault = call_fault::unanswered, .reason = "no answer"};
    item.due = now_ - network_delay + call.timeout;
    if (!lose(item, is_executed) && is_executed) {
        auto answer = targets_.at(call.target).execute(call, now_);
        const auto* const listing = std::get_if<list_call>(&call.request);
        const auto wait = listing == nullptr ? duration_ms{0} : listing->wait;
        if (is_path_up(call.target, item.host)) {
            // The answer to a long poll shows the end of its wait.
            answer.clock_ms =
                answer.clock_ms.value() +
                static_cast<std::int64_t>(slow_clock_rate * static_cast<double>(wait.count()));
            item.answer = std::move(answer);
            item.due = now_ + wait + network_delay;
        }
    }
    calls_.push_back(std::move(item));
}

/// Whether a fault of the network or the target leaves a call unanswered. Such a call is never
/// executed, or executed at once, late, or both.
bool lost_host_simulation::lose(const pending_call& item, bool can_execute) {
    if (!chance()) {
        return false;
    }
    auto& worker = targets_.at(item.call.target);
    constexpr unsigned ways = 4;
    const auto way = random_() % ways;
    const bool is_late = way >= ways / 2 && !has_ended(item.call.target);
    if (way % 2 == 1 && can_execute) {
        (void)worker.execute(item.call, now_);
    }
    if (is_late) {
        auto late = item;
        late.due = now_ + duration_ms{static_cast<int>(
                              random_() % static_cast<unsigned>(scenario_.longest_delay.count()))};
        late.incarnation = worker.incarnation;
        late_calls_.push_back(std::move(late));
    }
    return true;
}

void lost_host_simulation::execute_late_calls() {
    for (const auto& item : late_calls_) {
        // The process that a call has reached may execute it late, a later one does not have it.
        const bool is_same_process = targets_.at(item.call.target).incarnation == item.incarnation;
        if (item.due == now_ && is_running(item.call.target) && is_same_process) {
            execute_late(item);
        }
    }
}

void lost_host_simulation::execute_late(const pending_call& item) {
    auto& worker = targets_.at(item.call.target);
    auto call = item.call;
    if (scenario_.late_leases_count_anew) {
        const auto until = worker.clock(now_) + run_bounds{}.longest_lease.count();
        if (auto* const start = std::get_if<start_call>(&call.request)) {
            start->lease_until_ms = until;
        }
        auto* const listing = std::get_if<list_call>(&call.request);
        if (listing != nullptr && listing->lease_until_ms) {
            listing->lease_until_ms = until;
        }
    }
    (void)worker.execute(call, now_);
}

/// The connections of the calls that the target has not answered yet end with its process.
void lost_host_simulation::break_calls_to_target() {
    for (auto& item : calls_) {
        if (item.call.target == target_ && item.answer) {
            item.answer = call_answer{.fault = call_fault::unanswered, .reason = "reset"};
            item.due = std::min(item.due, now_ + network_delay);
        }
    }
}

} // namespace hawthornstall::runs
