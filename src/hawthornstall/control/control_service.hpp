#pragma once

/// Decisions of one control host: answers entry hosts from its replica or through the leader.

#include "hawthornstall/control/config_replica.hpp"
#include "hawthornstall/control/control_messages.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Interval of digests to each subscriber.
constexpr core::duration_ms digest_interval{1'000};

/// No digest is sent while the state is unconfirmed for longer than this, so that subscribers turn
/// to another control host. It exceeds the election timeout, within which a leader without a
/// quorum steps down.
constexpr core::duration_ms max_digest_age{2'000};

/// A control host that does not lead sends changes this much later to hosts that say hello to all
/// control hosts: by then they have told whether the leader's message has reached them. A large
/// configuration from every control host would fill the link of a small host for seconds.
constexpr core::duration_ms follower_push_delay{300};

struct to_control_host {
    std::string host;
    control_to_control message;
};

struct to_entry_host {
    std::string host;
    control_to_entry message;
};

/// Messages to send, in order.
struct service_output {
    std::vector<to_control_host> to_control;
    std::vector<to_entry_host> to_entry;
};

/// Pure apart from the storage. Inputs are collected; finish() makes them durable and answers.
/// The number of subscribers and waiting requests is bounded by the callers, which name known
/// hosts only, and by the time that entry hosts wait.
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

    /// A subscriber that cannot be reached subscribes again when it returns.
    void entry_unreachable(std::string_view host) { subscribers_.erase(std::string{host}); }

    void tick(core::time_ms now) {
        replica_.tick(now);
        if (now >= next_digest_) {
            next_digest_ = now + digest_interval;
            digest_due_ = true;
        }
        if (late_push_ && now >= *late_push_) {
            late_push_.reset();
            push_deltas(true);
        }
    }

    /// After an error the service must stop.
    [[nodiscard]] absl::StatusOr<service_output> finish(core::time_ms now) {
        auto replicated = replica_.finish(now);
        if (!replicated.ok()) {
            return replicated.status();
        }
        for (auto& message : replicated->messages) {
            auto host = message.to.host;
            output_.to_control.push_back({std::move(host), std::move(message)});
        }
        for (const auto& outcome : replicated->edit_outcomes) {
            answer(outcome);
        }
        answer_reads();
        if (replicated->documents_changed) {
            push_changes(now);
        }
        if (std::exchange(digest_due_, false)) {
            push_digests(now);
        }
        return std::exchange(output_, {});
    }

    [[nodiscard]] const config_replica<Storage>& replica() const noexcept { return replica_; }

private:
    /// Who waits for a reply; `via` is the control host that forwarded the request.
    struct requester {
        std::string entry_host;
        std::optional<std::string> via;
    };

    struct subscriber {
        std::uint64_t revision = 0; ///< Sent to it, or told by it.
        bool hears_all = false;     ///< It says hello to all control hosts.
    };

    struct waiting_edit {
        requester from;
        std::uint64_t number = 0;
    };

    struct waiting_read {
        requester from;
        std::variant<audit_request, numbered_read> request;
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
        reply({.entry_host = std::move(message.entry_host), .via = std::nullopt},
              std::move(message.reply));
    }

    void handle_entry(std::string_view host, config_subscribe message, core::time_ms /*now*/) {
        auto& item = subscribers_[std::string{host}];
        item.revision = message.revision;
        push_delta(std::string{host}, item.revision);
    }

    void handle_entry(std::string_view /*host*/, const discovery::host_hello& message,
                      core::time_ms now) {
        // A host that was silent has lost its subscription, which it does not notice when it has
        // heard this host all the while.
        const auto [position, is_new] =
            subscribers_.try_emplace(message.host.name, subscriber{message.config_revision, true});
        auto& revision = position->second.revision;
        revision = std::max(revision, message.config_revision);
        if (is_new) {
            push_changes(now);
        }
    }

    template <class Request>
    void handle_entry(std::string_view host, Request request, core::time_ms now) {
        serve({.entry_host = std::string{host}, .via = std::nullopt}, std::move(request), now);
    }

    /// Answers as the leader, or passes the request on to it once.
    template <class Request> void serve(requester from, Request request, core::time_ms now) {
        const auto& leader = replica_.node().election_state().leader();
        if (replica_.node().is_leader()) {
            start(std::move(from), std::move(request), now);
        } else if (leader && !from.via) {
            output_.to_control.push_back(
                {leader->host, forwarded_request{std::move(from.entry_host), std::move(request)}});
        } else {
            refuse(from, request);
        }
    }

    void start(requester from, edit_request request, core::time_ms /*now*/) {
        const auto token = ++last_token_;
        if (replica_.submit(std::move(request.edit), token)) {
            edits_[token] = {std::move(from), request.number};
        }
    }

    void start(requester from, numbered_request request, core::time_ms /*now*/) {
        const auto token = ++last_token_;
        if (replica_.submit(std::move(request.config), token)) {
            edits_[token] = {std::move(from), request.number};
        }
    }

    template <class Read> void start(requester from, Read request, core::time_ms now) {
        if (const auto ticket = replica_.node().start_read(now)) {
            reads_.push_back({std::move(from), request, *ticket});
        } else {
            refuse(from, request);
        }
    }

    void refuse(const requester& from, const numbered_read& request) {
        reply(from, numbered_state{.number = request.number, .config = std::nullopt});
    }

    void refuse(const requester& from, const numbered_request& request) {
        reply(from, edit_reply{.number = request.number, .answer = std::nullopt});
    }

    void refuse(const requester& from, const edit_request& request) {
        reply(from, edit_reply{.number = request.number, .answer = std::nullopt});
    }

    /// An audit request has no undecided answer; the entry host asks again.
    void refuse(const requester& /*from*/, const audit_request& /*request*/) {}

    void reply(const requester& to, std::variant<edit_reply, audit_reply, numbered_state> content) {
        if (to.via) {
            output_.to_control.push_back(
                {*to.via, forwarded_reply{to.entry_host, std::move(content)}});
            return;
        }
        std::visit(
            [&](auto& message) {
                output_.to_entry.push_back({to.entry_host, std::move(message)});
            },
            content);
    }

    void answer(const edit_outcome& outcome) {
        const auto found = edits_.find(outcome.token);
        if (found != edits_.end()) {
            reply(found->second.from,
                  edit_reply{.number = found->second.number, .answer = outcome.answer});
            edits_.erase(found);
        }
    }

    void answer_reads() {
        std::erase_if(reads_, [&](const waiting_read& read) {
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

    void answer_read(const requester& from, const numbered_read& request, read_state state) {
        if (state == read_state::confirmed) {
            reply(from,
                  numbered_state{.number = request.number, .config = replica_.store().numbered()});
        } else if (state == read_state::lost) {
            refuse(from, request);
        }
    }

    void push_delta(const std::string& host, std::uint64_t& revision) {
        auto delta = replica_.store().delta_after(revision);
        // A replica that lags behind the subscriber has nothing for it.
        if (delta.to_revision >= revision) {
            revision = delta.to_revision;
            output_.to_entry.push_back({host, std::move(delta)});
        }
    }

    void push_changes(core::time_ms now) {
        const bool leads = replica_.node().is_leader();
        push_deltas(leads);
        if (!leads && !late_push_) {
            late_push_ = now + follower_push_delay;
        }
    }

    void push_deltas(bool to_all) {
        for (auto& [host, item] : subscribers_) {
            if (item.revision < replica_.store().revision() && (to_all || !item.hears_all)) {
                push_delta(host, item.revision);
            }
        }
    }

    void push_digests(core::time_ms now) {
        const auto digest = replica_.digest(now);
        if (!digest || digest->confirmation_age > max_digest_age) {
            return;
        }
        for (const auto& [host, item] : subscribers_) {
            output_.to_entry.push_back({host, *digest});
        }
    }

    config_replica<Storage> replica_;
    std::map<std::string, subscriber> subscribers_; ///< By entry host.
    std::optional<core::time_ms> late_push_;
    std::map<std::uint64_t, waiting_edit> edits_; ///< By token.
    std::vector<waiting_read> reads_;
    std::uint64_t last_token_ = 0;
    core::time_ms next_digest_{};
    bool digest_due_ = false;
    service_output output_;
};

} // namespace hawthornstall::control
