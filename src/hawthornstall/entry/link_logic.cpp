#include "hawthornstall/entry/link_logic.hpp"

#include "hawthornstall/control/entry_message_layouts.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/core/overloaded.hpp"
#include "hawthornstall/entry/peer_message_layout.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

telemetry::message_purpose purpose_of(const outgoing_message& outgoing) {
    using telemetry::message_purpose;
    const auto* const content = std::get_if<peer_message>(&outgoing.content);
    if (content == nullptr) {
        return message_purpose::configuration;
    }
    return std::visit(core::overloaded{
                          [](const ownership_notice&) { return message_purpose::membership; },
                          [](const membership::message&) { return message_purpose::membership; },
                          [](const journal::owner_message&) { return message_purpose::journal; },
                          [](const journal::replica_message&) { return message_purpose::journal; },
                          [](const auto&) { return message_purpose::forward; },
                      },
                      *content);
}

} // namespace detail

link_logic::link_logic(net::peer_links::identity self, std::vector<net::peer_endpoint> entry_hosts,
                       std::vector<net::peer_endpoint> control_hosts, receiver deliver,
                       telemetry::entry_metrics* metrics)
    : self_(std::move(self)), entry_hosts_(std::move(entry_hosts)),
      control_hosts_(std::move(control_hosts)), deliver_(std::move(deliver)), metrics_(metrics) {}

void link_logic::attach(runtime::event_loop& loop) {
    links_ = std::make_unique<net::peer_links>(
        loop, self_,
        [this](std::string_view peer, std::uint64_t incarnation, std::string_view body) {
            receive(peer, incarnation, body);
        },
        [this](std::string_view peer, net::link_change change) {
            net::report_reachability(change, [&](bool reachable) {
                deliver_(peer_state_changed{.peer = std::string{peer}, .reachable = reachable});
            });
        });
    std::vector<net::peer_endpoint> peers = entry_hosts_;
    peers.insert(peers.end(), control_hosts_.begin(), control_hosts_.end());
    if (const auto status = links_->start(peers); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
}

void link_logic::handle(outgoing_message outgoing) {
    const auto bytes =
        std::visit([](const auto& content) { return wire::encode(content); }, outgoing.content);
    if (links_->send(outgoing.peer, bytes).ok()) {
        metrics_->count_sent(detail::purpose_of(outgoing), 1, bytes.size());
    }
}

void link_logic::receive(std::string_view peer, std::uint64_t incarnation, std::string_view body) {
    const auto deliver = [&](auto content) {
        if (content.ok()) {
            deliver_(incoming_message{.peer = std::string{peer},
                                      .incarnation = incarnation,
                                      .content = *std::move(content)});
        }
    };
    if (std::ranges::find(control_hosts_, peer, &net::peer_endpoint::name) !=
        control_hosts_.end()) {
        deliver(wire::decode<control::control_to_entry>(body));
    } else {
        deliver(wire::decode<peer_message>(body));
    }
}

} // namespace hawthornstall::entry
