#include "hawthornstall/entry/service_scheduler.hpp"

namespace hawthornstall::entry {
namespace detail {

template <class Capacity, class Implementation>
Implementation make_with(const core::service_document& document) {
    using scheduling::scheduler;
    switch (document.order) {
    case core::queue_order::first_in_first_out:
        return Implementation{
            std::in_place_type<scheduler<scheduling::first_in_first_out, Capacity>>, document};
    case core::queue_order::fair_share:
        return Implementation{std::in_place_type<scheduler<scheduling::fair_share, Capacity>>,
                              document};
    case core::queue_order::fewest_remaining:
        break;
    }
    return Implementation{std::in_place_type<scheduler<scheduling::fewest_remaining, Capacity>>,
                          document};
}

} // namespace detail

service_scheduler::implementation service_scheduler::make(const core::service_document& document) {
    return document.model == core::capacity_model::worker
               ? detail::make_with<scheduling::worker_capacity, implementation>(document)
               : detail::make_with<scheduling::slot_capacity, implementation>(document);
}

service_scheduler::service_scheduler(const core::service_document& document)
    : implementation_(make(document)) {}

bool service_scheduler::needs_replacement(const core::service_document& before,
                                          const core::service_document& after) {
    return before.model != after.model || before.order != after.order || before.task != after.task;
}

void service_scheduler::apply(const core::service_document& document) {
    std::visit([&](auto& scheduler) { scheduler.apply(document); }, implementation_);
}

void service_scheduler::set_target(std::string_view name, const core::target_capacity& capacity,
                                   bool available) {
    std::visit([&](auto& scheduler) { (void)scheduler.set_target(name, capacity, available); },
               implementation_);
}

void service_scheduler::remove_target(std::string_view name) {
    std::visit([&](auto& scheduler) { scheduler.remove_target(name); }, implementation_);
}

std::string_view service_scheduler::target_name(scheduling::target_id target) const {
    return std::visit([&](const auto& scheduler) { return scheduler.target_name(target); },
                      implementation_);
}

void service_scheduler::submit(scheduling::job_id job, const scheduling::job_terms& terms,
                               core::time_ms now) {
    std::visit([&](auto& scheduler) { scheduler.submit(job, terms, now); }, implementation_);
}

void service_scheduler::cancel(scheduling::job_id job) {
    std::visit([&](auto& scheduler) { scheduler.cancel(job); }, implementation_);
}

void service_scheduler::sent(scheduling::attempt_id attempt, core::time_ms now) {
    std::visit([&](auto& scheduler) { scheduler.sent(attempt, now); }, implementation_);
}

void service_scheduler::not_sent(scheduling::attempt_id attempt, scheduling::not_sent_cause cause,
                                 core::time_ms now) {
    std::visit([&](auto& scheduler) { scheduler.not_sent(attempt, cause, now); }, implementation_);
}

void service_scheduler::finished(scheduling::attempt_id attempt, scheduling::attempt_result result,
                                 core::time_ms now) {
    std::visit([&](auto& scheduler) { scheduler.finished(attempt, result, now); }, implementation_);
}

void service_scheduler::decide(core::time_ms now, scheduling::decisions& out) {
    std::visit([&](auto& scheduler) { scheduler.decide(now, out); }, implementation_);
}

std::uint64_t service_scheduler::queued_tasks() const {
    return std::visit([](const auto& scheduler) { return scheduler.queued_tasks(); },
                      implementation_);
}

std::size_t service_scheduler::attempts_in_flight() const {
    return std::visit([](const auto& scheduler) { return scheduler.attempts_in_flight(); },
                      implementation_);
}

std::size_t service_scheduler::ejected_targets() const {
    return std::visit([](const auto& scheduler) { return scheduler.ejected_targets(); },
                      implementation_);
}

} // namespace hawthornstall::entry
