#pragma once

/// Member functions of dispatch_host that handle messages from other hosts. Included by
/// dispatch_host.hpp only.

#include "hawthornstall/runs/dispatch_host.hpp"

#include <utility>

namespace hawthornstall::runs {

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view host,
                                              const control::config_delta& delta) {
    const auto revision = documents_.revision();
    (void)documents_.apply(delta);
    if (documents_.revision() != revision) {
        // The new revision tells control hosts that have not sent the change yet to skip it.
        send_hellos();
    }
    const auto& config = documents_.numbered();
    if (config.version <= routes_.version) {
        return;
    }
    auto routes = codec_.decode_routes(config.content);
    if (!routes.ok()) {
        report_({.level = core::log_level::error,
                 .name = "config_not_decoded",
                 .peer = std::string{host},
                 .detail = core::describe(routes.status())});
        return;
    }
    routes_ = std::move(*routes);
    routes_.version = config.version;
    report_({.name = "config_in_force",
             .peer = std::string{host},
             .detail = "version " + std::to_string(routes_.version)});
    retry_early_requests(now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view host,
                                              const control::config_digest& digest) {
    const auto outcome = documents_.check(digest, now());
    if (outcome == control::digest_outcome::behind) {
        subscribe(host, documents_.revision());
    } else if (outcome == control::digest_outcome::differs) {
        subscribe(host, 0);
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view /*host*/,
                                              const discovery::host_list& list) {
    for (const auto& host : list.entry_hosts) {
        links_->add({.name = host.name, .address = host.name});
    }
    on_input(control_hosts_changed{list.control_hosts});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_control_message(std::string_view host,
                                              const discovery::target_updates& updates) {
    for (const auto& record : updates.targets) {
        const auto* const known = directory_.find(record.id);
        if (record.draining && known != nullptr && !known->draining) {
            report_({.name = "target_draining",
                     .peer = record.id,
                     .detail = "announced through " + std::string{host}});
        }
        directory_.announce(record, now());
    }
    for (const auto& record : updates.departed) {
        directory_.leave(record, now());
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::deliver(const std::string& from, run_message message) {
    std::visit([&](auto& content) { on_run_message(from, std::move(content)); }, message);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, submit_job&& message) {
    scheduler_.submit(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const cancel_job& message) {
    scheduler_.cancel(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const job_ended& message) {
    front_end_.ended(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, start_run message) {
    const bool is_own = from == options_.self.name;
    if (!is_own) {
        message.caller_leaves_at = links_->earliest_local_time(from, message.caller_leaves_at);
    }
    holder_.front_end_alive(from, is_own ? now() : links_->alive_at(from));
    holder_.start(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const stop_submission& message) {
    holder_.stop_submission_of(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const grant_run& message) {
    (void)front_end_.granted(from, message);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const stop_run& message) {
    holder_.stop(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& /*from*/, const run_ended& message) {
    scheduler_.on_run_ended(message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const target_report& message) {
    scheduler_.report(from, message, now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& /*from*/,
                                          const host_presence& message) {
    hosts_.on_presence(message);
    // Jobs that other hosts send because of the same change may follow immediately.
    update_scheduler(now());
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_run_message(const std::string& from, const revoke_runs& message) {
    holder_.revoke(from, message, now());
}

} // namespace hawthornstall::runs
