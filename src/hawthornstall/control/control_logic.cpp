#include "hawthornstall/control/control_logic.hpp"

#include "hawthornstall/control/control_message_layouts.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <utility>

namespace hawthornstall::control {
namespace detail {

/// A quarter of the heartbeat interval.
constexpr core::duration_ms tick_interval{50};

std::uint64_t random_number() {
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> number{1};
    return number(source);
}

std::string_view name_of(member_role role) {
    switch (role) {
    case member_role::leader:
        return "leader";
    case member_role::candidate:
        return "candidate";
    case member_role::pre_candidate:
        return "pre_candidate";
    case member_role::follower:
        break;
    }
    return "follower";
}

bool is_named(std::span<const net::peer_endpoint> peers, std::string_view name) {
    return std::ranges::find(peers, name, &net::peer_endpoint::name) != peers.end();
}

} // namespace detail

control_logic::control_logic(control_options options, observer report)
    : options_(std::move(options)), report_(std::move(report)) {}

void control_logic::attach(runtime::event_loop& loop) {
    loop_ = &loop;
    open_storage();
    links_ = std::make_unique<net::peer_links>(
        loop, options_.self,
        [this](std::string_view peer, std::uint64_t /*incarnation*/, std::string_view body) {
            receive(peer, body);
        },
        [this](std::string_view peer, bool reachable) { notice(peer, reachable); });
    auto peers = options_.control_hosts;
    peers.insert(peers.end(), options_.entry_hosts.begin(), options_.entry_hosts.end());
    if (const auto status = links_->start(peers); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
    tick_event_ = loop.every(detail::tick_interval, [this] { tick(); });
}

void control_logic::open_storage() {
    auto opened = open_or_replace(options_.data_folder, options_.self.name, detail::random_number(),
                                  core::ms_clock::wall_now());
    if (!opened.ok()) {
        throw std::runtime_error{core::describe(opened.status())};
    }
    if (!opened->damaged_folder.empty()) {
        report_({control_event::kind::folder_damaged, opened->damaged_folder});
    }
    auto replica =
        config_replica<file_storage>::open(std::move(opened->storage), options_.consensus,
                                           detail::random_number(), core::ms_clock::now());
    if (!replica.ok()) {
        throw std::runtime_error{core::describe(replica.status())};
    }
    service_ = std::make_unique<control_service<file_storage>>(std::move(*replica));
}

void control_logic::receive(std::string_view peer, std::string_view body) {
    if (service_ == nullptr) {
        return;
    }
    const auto now = core::ms_clock::now();
    // Messages that cannot be decoded are dropped: their senders resend on a timer.
    if (detail::is_named(options_.control_hosts, peer)) {
        if (auto message = wire::decode<control_to_control>(body); message.ok()) {
            service_->receive_from_control(peer, std::move(*message), now);
        }
    } else if (detail::is_named(options_.entry_hosts, peer)) {
        if (auto message = wire::decode<entry_to_control>(body); message.ok()) {
            service_->receive_from_entry(peer, std::move(*message), now);
        }
    }
    finish_soon();
}

void control_logic::notice(std::string_view peer, bool reachable) {
    report_(
        {reachable ? control_event::kind::peer_reachable : control_event::kind::peer_unreachable,
         std::string{peer}});
    if (!reachable && service_ != nullptr) {
        service_->entry_unreachable(peer);
    }
}

void control_logic::tick() {
    if (service_ != nullptr) {
        service_->tick(core::ms_clock::now());
        finish();
    }
}

/// Messages that are read in one turn of the event loop share one synced write.
void control_logic::finish_soon() {
    if (!std::exchange(finish_is_due_, true)) {
        finish_event_ = loop_->after(core::duration_ms{0}, [this] { finish(); });
    }
}

void control_logic::finish() {
    finish_is_due_ = false;
    if (service_ == nullptr) {
        return;
    }
    auto output = service_->finish(core::ms_clock::now());
    if (!output.ok()) {
        // What is durable is unknown now, so this host may neither vote nor acknowledge.
        service_.reset();
        report_({control_event::kind::failed, core::describe(output.status())});
        return;
    }
    // A message to an unreachable host is dropped: senders resend on a timer.
    for (const auto& [host, message] : output->to_control) {
        (void)links_->send(host, wire::encode(message));
    }
    for (const auto& [host, message] : output->to_entry) {
        (void)links_->send(host, wire::encode(message));
    }
    const auto role = service_->replica().node().vote_state().role();
    if (std::exchange(last_role_, role) != role) {
        report_({control_event::kind::role_changed, std::string{detail::name_of(role)}});
    }
}

} // namespace hawthornstall::control
