#include "hawthornstall/control_host/control_logic.hpp"

#include "hawthornstall/control_host/control_message_layouts.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <utility>
#include <vector>

namespace hawthornstall::control_host {
namespace detail {

/// Timers of the replica; a fifth of its heartbeat interval.
constexpr core::duration_ms tick_interval{40};

/// Entry hosts follow another control host after two missing digests.
constexpr core::duration_ms digest_interval{1000};

std::uint64_t draw_number() {
    std::random_device device;
    constexpr unsigned half = 32;
    return (std::uint64_t{device()} << half) | device() | 1U;
}

} // namespace detail

absl::StatusOr<control_logic::replica> open_replica(const settings::control_settings& settings,
                                                    bool create_cluster) {
    auto opened = control::open_or_replace(settings.data_folder, settings.name,
                                           detail::draw_number(), core::ms_clock::wall_now());
    if (!opened.ok()) {
        return opened.status();
    }
    if (create_cluster) {
        if (opened->storage.state().cluster != 0) {
            return core::make_error(absl::StatusCode::kFailedPrecondition,
                                    {.step = "create_cluster", .peer = settings.name},
                                    "the data folder already belongs to a cluster; start without "
                                    "--create_cluster");
        }
        if (auto status = control::create_cluster(opened->storage, detail::draw_number());
            !status.ok()) {
            return status;
        }
    }
    control::consensus_settings consensus;
    for (const auto& voter : settings.voters) {
        consensus.hosts.push_back(voter.name);
    }
    return control_logic::replica::open(std::move(opened->storage), std::move(consensus),
                                        detail::draw_number(), core::ms_clock::now());
}

control_logic::control_logic(settings::control_settings settings, replica opened,
                             std::function<void(std::string_view)> on_failure)
    : settings_(std::move(settings)), replica_(std::move(opened)),
      on_failure_(std::move(on_failure)) {}

void control_logic::attach(runtime::event_loop& loop) {
    std::vector<net::peer_endpoint> peers;
    const auto add = [&](const settings::host_entry& host) {
        if (host.name != settings_.name) {
            peers.push_back({host.name, settings::to_string(host.peer_address)});
        }
    };
    std::ranges::for_each(settings_.voters, add);
    std::ranges::for_each(settings_.entry_hosts, add);
    links_ = std::make_unique<net::peer_links>(
        loop,
        net::peer_links::identity{
            settings_.name, static_cast<std::uint64_t>(core::to_count(core::ms_clock::wall_now())),
            settings::to_string(settings_.peer_address)},
        [this](std::string_view peer, std::uint64_t /*incarnation*/, std::string_view body) {
            receive(peer, body);
        },
        [this](std::string_view peer, bool reachable) {
            if (!reachable) {
                if (const auto found = subscribers_.find(peer); found != subscribers_.end()) {
                    subscribers_.erase(found);
                }
            }
        });
    if (const auto status = links_->start(peers); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
    timer_ = loop.every(detail::tick_interval, [this] { run_timer(); });
}

void control_logic::receive(std::string_view peer, std::string_view body) {
    if (failed_) {
        return;
    }
    if (is_control_host(peer)) {
        if (const auto content = wire::decode<control_to_control>(body); content.ok()) {
            take(peer, *content);
        }
    } else if (const auto content = wire::decode<control::entry_to_control>(body); content.ok()) {
        take(peer, *content);
    }
    finish_turn();
}

void control_logic::take(std::string_view peer, const control_to_control& content) {
    if (const auto* const message = std::get_if<control::peer_message>(&content)) {
        replica_.receive(*message, core::ms_clock::now());
    } else if (const auto* const forwarded = std::get_if<forwarded_edit>(&content)) {
        submit({.host = std::string{peer},
                .number = forwarded->number,
                .is_control = true,
                .deadline = core::ms_clock::now() + edit_queue::patience},
               forwarded->edit);
    } else if (const auto* const answered = std::get_if<forwarded_answer>(&content)) {
        if (const auto sender = edits_.take(answered->number)) {
            reply(*sender, answered->answer);
        }
    }
}

void control_logic::take(std::string_view peer, const control::entry_to_control& content) {
    if (const auto* const subscription = std::get_if<control::config_subscribe>(&content)) {
        subscribers_.insert_or_assign(std::string{peer}, subscription->revision);
        send_delta(peer, subscription->revision);
    } else if (const auto* const request = std::get_if<control::edit_request>(&content)) {
        submit({.host = std::string{peer},
                .number = request->number,
                .is_control = false,
                .deadline = core::ms_clock::now() + edit_queue::patience},
               request->edit);
    } else if (const auto* const audit = std::get_if<control::audit_request>(&content)) {
        const auto records = replica_.store().audit_after(audit->after_revision, audit->limit);
        send(peer, control::control_to_entry{control::audit_reply{
                       .number = audit->number, .records = {records.begin(), records.end()}}});
    }
}

void control_logic::submit(edit_sender sender, const control::edit_command& edit) {
    const auto number = edits_.add(sender);
    if (replica_.submit(edit, number)) {
        return;
    }
    const auto& leader = replica_.node().vote_state().leader();
    if (!sender.is_control && leader && leader->host != settings_.name) {
        send(leader->host, control_to_control{forwarded_edit{.number = number, .edit = edit}});
        return;
    }
    // No leader is known: the sender asks again.
    if (const auto waiting = edits_.take(number)) {
        reply(*waiting, std::nullopt);
    }
}

void control_logic::reply(const edit_sender& sender,
                          const std::optional<control::edit_answer>& answer) {
    if (sender.is_control) {
        send(sender.host,
             control_to_control{forwarded_answer{.number = sender.number, .answer = answer}});
    } else {
        send(sender.host, control::control_to_entry{
                              control::edit_reply{.number = sender.number, .answer = answer}});
    }
}

void control_logic::run_timer() {
    if (failed_) {
        return;
    }
    const auto now = core::ms_clock::now();
    replica_.tick(now);
    edits_.forget_overdue(now);
    finish_turn();
    if (now >= next_digest_) {
        next_digest_ = now + detail::digest_interval;
        publish_digest();
    }
}

void control_logic::finish_turn() {
    auto output = replica_.finish(core::ms_clock::now());
    if (!output.ok()) {
        failed_ = true;
        on_failure_(core::describe(output.status()));
        return;
    }
    for (auto& message : output->messages) {
        const auto host = message.to.host;
        send(host, control_to_control{std::move(message)});
    }
    for (const auto& edit : output->edits) {
        if (const auto sender = edits_.take(edit.token)) {
            reply(*sender, edit.answer);
        }
    }
    if (output->documents_changed) {
        publish_documents();
        publish_digest();
    }
}

void control_logic::publish_documents() {
    for (auto& [host, revision] : subscribers_) {
        send_delta(host, revision);
        revision = replica_.store().revision();
    }
}

void control_logic::publish_digest() {
    if (const auto digest = replica_.digest(core::ms_clock::now())) {
        for (const auto& [host, revision] : subscribers_) {
            send(host, control::control_to_entry{*digest});
        }
    }
}

void control_logic::send_delta(std::string_view host, std::uint64_t revision) {
    send(host, control::control_to_entry{replica_.store().delta_after(revision)});
}

void control_logic::send(std::string_view host, const control_to_control& content) {
    (void)links_->send(host, wire::encode(content));
}

void control_logic::send(std::string_view host, const control::control_to_entry& content) {
    (void)links_->send(host, wire::encode(content));
}

bool control_logic::is_control_host(std::string_view peer) const {
    return std::ranges::any_of(settings_.voters,
                               [&](const auto& voter) { return voter.name == peer; });
}

} // namespace hawthornstall::control_host
