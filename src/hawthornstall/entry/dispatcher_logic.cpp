#include "hawthornstall/entry/dispatcher_logic.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/core/overloaded.hpp"
#include "hawthornstall/entry/document_cache.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

dispatcher::times current_times() {
    return {.now = core::ms_clock::now(), .wall = core::ms_clock::wall_now()};
}

} // namespace detail

dispatcher_logic::dispatcher_logic(dispatcher_options options, dispatcher_mailboxes mailboxes,
                                   std::function<void()> on_drained,
                                   telemetry::entry_metrics* metrics, telemetry::log_output* output,
                                   std::optional<std::string> data_folder)
    : dispatcher_(std::move(options), detail::current_times()), mailboxes_(std::move(mailboxes)),
      on_drained_(std::move(on_drained)), metrics_(metrics), log_(*output),
      data_folder_(std::move(data_folder)) {}

void dispatcher_logic::attach(runtime::event_loop& loop) {
    loop_ = &loop;
    run_timer();
}

void dispatcher_logic::handle(dispatcher_message incoming) {
    if (const auto* const change = std::get_if<peer_state_changed>(&incoming)) {
        log_peer_state(*change);
    }
    carry_out(dispatcher_.handle(std::move(incoming), detail::current_times()));
}

void dispatcher_logic::run_timer() {
    timer_at_ = core::time_ms::max();
    log_.report_dropped();
    report_ownership();
    carry_out(dispatcher_.tick(detail::current_times()));
}

void dispatcher_logic::carry_out(dispatcher_effects effects) {
    for (auto& effect : effects) {
        // A full mailbox drops the message: peers resend, and a caller's job ends at its deadline.
        std::visit(
            core::overloaded{
                [&](outgoing_message& out) { (void)mailboxes_.links->post(std::move(out)); },
                [&](start_order& order) { post_start(std::move(order)); },
                [&](send_to_front_end& out) {
                    (void)mailboxes_.front_ends.at(out.front_end)->post(std::move(out.message));
                },
                [&](const publish_documents& out) { post_documents(out.documents); },
            },
            effect);
    }
    if (on_drained_ && dispatcher_.is_drained()) {
        std::exchange(on_drained_, nullptr)();
    }
    if (dispatcher_.next_call() < timer_at_) {
        timer_at_ = dispatcher_.next_call();
        const auto delay = std::max(timer_at_ - core::ms_clock::now(), core::duration_ms{0});
        timer_ = loop_->after(delay, [this] { run_timer(); });
    }
}

void dispatcher_logic::post_documents(const documents_changed& documents) {
    report_documents(documents);
    for (const auto& front : mailboxes_.front_ends) {
        (void)front->post(documents);
    }
}

void dispatcher_logic::log_peer_state(const peer_state_changed& change) {
    log_.write({.level = change.reachable ? core::log_level::info : core::log_level::warning,
                .name = change.reachable ? "peer_reachable" : "peer_unreachable",
                .step = "check_liveness",
                .peer = change.peer});
}

void dispatcher_logic::report_documents(const documents_changed& changed) {
    for (const auto& document : changed.documents->documents()) {
        metrics_->for_service(document.service).set_document_version(document.version);
    }
    log_.write({.name = "documents_applied"}, {{"revision", changed.documents->revision()}});
    save(*changed.documents);
}

void dispatcher_logic::save(const control::applied_documents& documents) {
    if (!data_folder_) {
        return;
    }
    // Edits are rare (0.1 per second at the design scale), so a blocking synced write of several ms
    // is acceptable on this loop.
    if (const auto saved = save_documents(*data_folder_, documents.as_full_delta()); !saved.ok()) {
        const auto reason = core::describe(saved);
        log_.write({.level = core::log_level::error, .name = "documents_not_saved"},
                   {{"reason", std::string_view{reason}}});
    }
}

void dispatcher_logic::report_ownership() {
    auto epochs = dispatcher_.owned_epochs();
    for (const auto& [service, epoch] : epochs) {
        if (const auto known = epochs_.find(service);
            known == epochs_.end() || known->second != epoch) {
            metrics_->for_service(service).set_epoch(epoch);
            log_.write({.name = "ownership_gained"}, {{"service", service}, {"epoch", epoch}});
        }
    }
    for (const auto& [service, epoch] : epochs_) {
        if (!epochs.contains(service)) {
            metrics_->for_service(service).set_epoch(0);
            log_.write({.level = core::log_level::warning, .name = "ownership_lost"},
                       {{"service", service}, {"epoch", epoch}});
        }
    }
    epochs_ = std::move(epochs);
    if (const auto age = dispatcher_.configuration_age(core::ms_clock::now())) {
        metrics_->set_configuration_age(*age);
    }
}

void dispatcher_logic::post_start(start_order order) {
    const task_report unsent{.service = order.service,
                             .run = order.task.run,
                             .result = task_result::not_sent,
                             .body = {}};
    if (!mailboxes_.targets->post(std::move(order))) {
        carry_out(dispatcher_.handle(unsent, detail::current_times()));
    }
}

} // namespace hawthornstall::entry
