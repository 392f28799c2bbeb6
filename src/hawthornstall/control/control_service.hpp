#pragma once

/// Request handling of one control host: answers entry hosts from its replica or through the
/// leader.

#include "hawthornstall/control/config_replica.hpp"
#include "hawthornstall/control/control_messages.hpp"
#include "hawthornstall/control/subscriber_table.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Interval between digests to each subscriber.
constexpr core::duration_ms digest_interval{1'000};

/// No digest is sent while the last confirmation of the state is older than this, so that
/// subscribers switch to another control host. It exceeds the election timeout, within which a
/// leader without a quorum steps down.
constexpr core::duration_ms max_digest_age{2'000};

/// Message with the control host that receives it.
struct to_control_host {
    std::string host;
    control_to_control message;
};

/// Message with the entry host that receives it.
struct to_entry_host {
    std::string host;
    control_to_entry message;
};

/// Messages to send, in order.
struct service_output {
    std::vector<to_control_host> to_control;
    std::vector<to_entry_host> to_entry;
};

/// Serves entry hosts and other control hosts. Apart from the storage it does no I/O: inputs are
/// collected, and finish() makes them durable and returns the answers. The number of subscribers
/// and pending requests is bounded, because the owner passes on messages of known hosts only and
/// because entry hosts wait for a limited time.
template <log_storage Storage> class control_service {
public:
    explicit control_service(config_replica<Storage> replica) : replica_(std::move(replica)) {}

    void receive_from_control(std::string_view host, control_to_control message,
                              core::time_ms now) {
        std::visit([&](auto& content) { handle_control(host, std::move(content), now); }, message);
    }

    void receive_from_entry(std::string_view host, entry_to_control message, core::time_ms now) {
        std::visit([&](auto& content) { handle_entry(host, std::move(content), now); }, message);
    }

    /// Drops the subscription of `host`, which subscribes again once it is reachable.
    void entry_unreachable(std::string_view host) { subscribers_.remove(host); }

    void tick(core::time_ms now) {
        replica_.tick(now);
        if (now >= next_digest_) {
            next_digest_ = now + digest_interval;
            digest_due_ = true;
        }
    }

    /// Makes the collected inputs durable and returns the messages that follow from them. After an
    /// error the service must not be used any more.
    [[nodiscard]] absl::StatusOr<service_output> finish(core::time_ms now) {
        auto replicated = replica_.finish(now);
        if (!replicated.ok()) {
            return replicated.status();
        }
        for (auto& message : replicated->messages) {
            auto host = message.to.host;
            output_.to_control.push_back({std::move(host), std::move(message)});
        }
        for (const auto& outcome : replicated->change_outcomes) {
            answer(outcome);
        }
        answer_reads();
        push_changes(now);
        if (std::exchange(digest_due_, false)) {
            push_digests(now);
        }
        return std::exchange(output_, {});
    }

    [[nodiscard]] const config_replica<Storage>& replica() const noexcept { return replica_; }

private:
    /// Entry host that waits for a reply, and the control host that forwarded its request, if any.
    struct requester {
        std::string entry_host;
        std::optional<std::string> forwarded_by;
    };

    struct pending_change {
        requester from;
        std::uint64_t number = 0;
    };

    struct pending_read {
        requester from;
        std::variant<audit_request, numbered_config_read> request;
        read_ticket ticket;
    };

    void handle_control(std::string_view /*host*/, peer_message message, core::time_ms now) {
        replica_.receive(message, now);
    }

    void handle_control(std::string_view host, forwarded_request message, core::time_ms now) {
        requester from{std::move(message.entry_host), std::string{host}};
        std::visit([&](auto& request) { serve(std::move(from), std::move(request), now); },
                   message.request);
    }

    void handle_control(std::string_view /*host*/, forwarded_reply message, core::time_ms /*now*/) {
        reply({.entry_host = std::move(message.entry_host), .forwarded_by = std::nullopt},
              std::move(message.reply));
    }

    void handle_entry(std::string_view host, config_subscribe message, core::time_ms now) {
        subscribers_.subscribe(host, message.revision, now);
    }

    void handle_entry(std::string_view /*host*/, const discovery::host_hello& message,
                      core::time_ms now) {
        // The subscription was dropped if this host could not reach the entry host. The entry host
        // does not notice this if messages of this host kept arriving, so its hello renews the
        // subscription.
        subscribers_.confirm(message.host.name, message.config_revision, now);
    }

    template <class Request>
    void handle_entry(std::string_view host, Request request, core::time_ms now) {
        serve({.entry_host = std::string{host}, .forwarded_by = std::nullopt}, std::move(request),
              now);
    }

    /// Answers the request as the leader, or forwards it to the leader, at most once.
    template <class Request> void serve(requester from, Request request, core::time_ms now) {
        const auto& leader = replica_.node().current_election().leader();
        if (replica_.node().is_leader()) {
            start(std::move(from), std::move(request), now);
        } else if (leader && !from.forwarded_by) {
            output_.to_control.push_back(
                {leader->host, forwarded_request{std::move(from.entry_host), std::move(request)}});
        } else {
            reject(from, request);
        }
    }

    void start(requester from, edit_request request, core::time_ms /*now*/) {
        start_change(std::move(from), request.number, std::move(request.edit));
    }

    void start(requester from, numbered_config_put request, core::time_ms /*now*/) {
        start_change(std::move(from), request.number, std::move(request.config));
    }

    void start(requester from, zone_drain_put request, core::time_ms /*now*/) {
        start_change(std::move(from), request.number, std::move(request.order));
    }

    void start_change(requester from, std::uint64_t number, entry_payload change) {
        const auto token = ++last_token_;
        if (replica_.submit(std::move(change), token)) {
            pending_changes_[token] = {std::move(from), number};
        } else {
            reply(from, edit_reply{.number = number, .answer = std::nullopt});
        }
    }

    template <class Read> void start(requester from, Read request, core::time_ms now) {
        if (const auto ticket = replica_.node().start_read(now)) {
            pending_reads_.push_back({std::move(from), request, *ticket});
        } else {
            reject(from, request);
        }
    }

    void reject(const requester& from, const numbered_config_read& request) {
        reply(from, numbered_config_reply{.number = request.number, .config = std::nullopt});
    }

    void reject(const requester& from, const numbered_config_put& request) {
        reply(from, edit_reply{.number = request.number, .answer = std::nullopt});
    }

    void reject(const requester& from, const edit_request& request) {
        reply(from, edit_reply{.number = request.number, .answer = std::nullopt});
    }

    void reject(const requester& from, const zone_drain_put& request) {
        reply(from, edit_reply{.number = request.number, .answer = std::nullopt});
    }

    /// An audit request has no reply for an unknown outcome; the entry host asks again.
    void reject(const requester& /*from*/, const audit_request& /*request*/) {}

    void reply(const requester& to,
               std::variant<edit_reply, audit_reply, numbered_config_reply> content) {
        if (to.forwarded_by) {
            output_.to_control.push_back(
                {*to.forwarded_by, forwarded_reply{to.entry_host, std::move(content)}});
            return;
        }
        std::visit(
            [&](auto& message) {
                output_.to_entry.push_back({to.entry_host, std::move(message)});
            },
            content);
    }

    void answer(const change_outcome& outcome) {
        const auto found = pending_changes_.find(outcome.token);
        if (found != pending_changes_.end()) {
            reply(found->second.from,
                  edit_reply{.number = found->second.number, .answer = outcome.answer});
            pending_changes_.erase(found);
        }
    }

    void answer_reads() {
        std::erase_if(pending_reads_, [&](const pending_read& read) {
            const auto state = replica_.node().check(read.ticket);
            std::visit([&](const auto& request) { answer_read(read.from, request, state); },
                       read.request);
            return state != read_state::waiting;
        });
    }

    void answer_read(const requester& from, const audit_request& request, read_state state) {
        if (state == read_state::confirmed) {
            const auto records =
                replica_.store().audit_after(request.after_revision, request.limit);
            reply(from, audit_reply{.number = request.number,
                                    .records = {records.begin(), records.end()}});
        }
    }

    void answer_read(const requester& from, const numbered_config_read& request, read_state state) {
        if (state == read_state::confirmed) {
            reply(from, numbered_config_reply{.number = request.number,
                                              .config = replica_.store().numbered()});
        } else if (state == read_state::lost) {
            reject(from, request);
        }
    }

    /// Sends the documents that changed to the entry hosts whose turn it is.
    void push_changes(core::time_ms now) {
        const auto& store = replica_.store();
        const push_state state{.revision = store.revision(),
                               .change_bytes = store.numbered().content.size(),
                               .follower = place_among_followers()};
        for (const auto& push : subscribers_.take_due(state, now)) {
            output_.to_entry.push_back({push.host, store.delta_after(push.from_revision)});
        }
    }

    /// Empty when this host leads.
    [[nodiscard]] std::optional<follower_place> place_among_followers() const {
        const auto& node = replica_.node();
        if (node.is_leader()) {
            return std::nullopt;
        }
        const auto& self = node.storage().state().self;
        const auto leader = node.current_election().leader();
        follower_place place{.index = 0, .count = 1};
        for (const auto* group : {&node.members().voters, &node.members().learners}) {
            for (const auto& member : *group) {
                if (member != self && member != leader) {
                    ++place.count;
                    place.index += member < self ? 1 : 0;
                }
            }
        }
        return place;
    }

    void push_digests(core::time_ms now) {
        const auto digest = replica_.digest(now);
        if (!digest || digest->confirmation_age > max_digest_age) {
            return;
        }
        for (auto& host : subscribers_.hosts()) {
            output_.to_entry.push_back({std::move(host), *digest});
        }
    }

    config_replica<Storage> replica_;
    subscriber_table subscribers_;
    std::map<std::uint64_t, pending_change> pending_changes_; ///< By token.
    std::vector<pending_read> pending_reads_;
    std::uint64_t last_token_ = 0;
    core::time_ms next_digest_{};
    bool digest_due_ = false;
    service_output output_;
};

} // namespace hawthornstall::control
