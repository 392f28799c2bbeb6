#include "hawthornstall/entry/config_client.hpp"

#include "hawthornstall/core/error.hpp"

#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Control hosts send a digest every second. After two missing ones the client switches to another
/// host.
constexpr core::duration_ms digest_timeout{2500};

/// An unconfirmed subscription is sent again after this time.
constexpr core::duration_ms resubscribe_after{500};

/// An unanswered request is sent to the next control host after this time.
constexpr core::duration_ms resend_after{700};

/// A request is answered within this time, if only with the error that its result is unknown.
constexpr core::duration_ms request_timeout{8000};

/// Largest number of audit records per answer.
constexpr std::uint32_t audit_page_size = 1000;

absl::Status unknown_edit_result() {
    return core::make_error(absl::StatusCode::kUnknown, {.step = "replicate_edit", .peer = {}},
                            "no quorum of control hosts answered in time; send the edit again "
                            "with the same X-Edit-Id to learn its result");
}

} // namespace detail

config_client::config_client(std::vector<std::string> control_hosts,
                             std::uint64_t last_earlier_number)
    : control_hosts_(std::move(control_hosts)), last_number_(last_earlier_number) {}

config_effects config_client::handle(std::string_view host,
                                     const control::control_to_entry& message, core::time_ms now) {
    std::visit([&](const auto& content) { receive(host, content, now); }, message);
    return std::exchange(effects_, {});
}

config_effects config_client::tick(core::time_ms now) {
    if (!control_hosts_.empty()) {
        if (now - last_heard_ > detail::digest_timeout) {
            switch_host(now);
        } else if (!subscription_confirmed_ && now - last_subscribed_ > detail::resubscribe_after) {
            subscribe(documents_.revision(), now);
        }
    }
    for (auto position = requests_.begin(); position != requests_.end();) {
        if (position->second.deadline <= now) {
            fail_request(position->second);
            position = requests_.erase(position);
            continue;
        }
        if (position->second.next_send <= now) {
            send(position->second, now);
        }
        ++position;
    }
    return std::exchange(effects_, {});
}

config_effects config_client::edit(const local_caller& caller, control::edit_command command,
                                   core::time_ms now) {
    const auto number = ++last_number_;
    auto& request = requests_[number];
    request = {.caller = caller,
               .message = control::edit_request{.number = number, .edit = std::move(command)},
               .deadline = now + detail::request_timeout,
               .host = subscribed_host_index_};
    send(request, now);
    return std::exchange(effects_, {});
}

config_effects config_client::audit(const local_caller& caller, core::time_ms now) {
    const auto number = ++last_number_;
    const auto revision = documents_.revision();
    auto& request = requests_[number];
    request = {.caller = caller,
               .message =
                   control::audit_request{.number = number,
                                          .after_revision = revision > detail::audit_page_size
                                                                ? revision - detail::audit_page_size
                                                                : 0,
                                          .limit = detail::audit_page_size},
               .deadline = now + detail::request_timeout,
               .host = subscribed_host_index_};
    send(request, now);
    return std::exchange(effects_, {});
}

void config_client::receive(std::string_view host, const control::config_delta& delta,
                            core::time_ms now) {
    if (is_subscribed_to(host)) {
        last_heard_ = now;
        subscription_confirmed_ = true;
    }
    if (!documents_.apply(delta).empty()) {
        effects_.emplace_back(documents_updated{});
    }
}

void config_client::receive(std::string_view host, const control::config_digest& digest,
                            core::time_ms now) {
    if (!is_subscribed_to(host)) {
        return; // Sent before the client switched to another host.
    }
    last_heard_ = now;
    subscription_confirmed_ = true;
    switch (documents_.check(digest, now)) {
    case control::digest_outcome::confirmed:
        break;
    case control::digest_outcome::behind:
        subscribe(documents_.revision(), now);
        break;
    case control::digest_outcome::differs:
        subscribe(0, now);
        break;
    case control::digest_outcome::control_behind:
        switch_host(now);
        break;
    }
}

void config_client::receive(std::string_view /*host*/, const control::edit_reply& reply,
                            core::time_ms now) {
    const auto found = requests_.find(reply.number);
    if (found == requests_.end()) {
        return;
    }
    if (!reply.answer) {
        // The result is unknown: there was no leader, or leadership changed before the decision.
        // The next host is asked after the delay.
        found->second.next_send = now + detail::resend_after;
        return;
    }
    effects_.emplace_back(edit_ended{found->second.caller, *reply.answer});
    requests_.erase(found);
}

void config_client::receive(std::string_view /*host*/, const control::audit_reply& reply,
                            core::time_ms /*now*/) {
    if (const auto found = requests_.find(reply.number); found != requests_.end()) {
        effects_.emplace_back(audit_ended{found->second.caller, reply.records});
        requests_.erase(found);
    }
}

void config_client::switch_host(core::time_ms now) {
    subscribed_host_index_ = (subscribed_host_index_ + 1) % control_hosts_.size();
    last_heard_ = now;
    subscribe(documents_.revision(), now);
}

void config_client::subscribe(std::uint64_t revision, core::time_ms now) {
    subscription_confirmed_ = false;
    last_subscribed_ = now;
    effects_.emplace_back(send_to_control_host{control_hosts_.at(subscribed_host_index_),
                                               control::config_subscribe{.revision = revision}});
}

void config_client::send(open_request& request, core::time_ms now) {
    if (control_hosts_.empty()) {
        return;
    }
    request.next_send = now + detail::resend_after;
    const auto& host = control_hosts_[request.host % control_hosts_.size()];
    ++request.host;
    effects_.emplace_back(send_to_control_host{host, request.message});
}

void config_client::fail_request(const open_request& request) {
    if (std::holds_alternative<control::edit_request>(request.message)) {
        effects_.emplace_back(edit_ended{request.caller, detail::unknown_edit_result()});
    } else {
        effects_.emplace_back(
            audit_ended{request.caller, core::make_error(absl::StatusCode::kUnavailable,
                                                         {.step = "read_audit", .peer = {}},
                                                         "no control host answered")});
    }
}

} // namespace hawthornstall::entry
