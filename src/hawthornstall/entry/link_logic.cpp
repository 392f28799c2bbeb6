#include "hawthornstall/entry/link_logic.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/peer_message_layout.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <stdexcept>
#include <utility>

namespace hawthornstall::entry {

link_logic::link_logic(net::peer_links::identity self, std::vector<net::peer_endpoint> peers,
                       receiver deliver)
    : self_(std::move(self)), peers_(std::move(peers)), deliver_(std::move(deliver)) {}

void link_logic::attach(runtime::event_loop& loop) {
    links_ = std::make_unique<net::peer_links>(
        loop, self_,
        [this](std::string_view peer, std::uint64_t incarnation, std::string_view body) {
            receive(peer, incarnation, body);
        },
        [this](std::string_view peer, bool reachable) {
            deliver_(peer_state_changed{.peer = std::string{peer}, .reachable = reachable});
        });
    if (const auto status = links_->start(peers_); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
}

void link_logic::handle(outgoing_message outgoing) {
    (void)links_->send(outgoing.peer, wire::encode(outgoing.content));
}

void link_logic::receive(std::string_view peer, std::uint64_t incarnation, std::string_view body) {
    auto content = wire::decode<peer_message>(body);
    if (content.ok()) {
        deliver_(incoming_message{.peer = std::string{peer},
                                  .incarnation = incarnation,
                                  .content = std::move(*content)});
    }
}

} // namespace hawthornstall::entry
