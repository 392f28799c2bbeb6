#pragma once

/// A simulated process with links, shared by the tests of peer_links.

#include "hawthornstall/net/peer_links.hpp"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::net {

/// The links of one simulated process, run on the event loop of the test.
struct node {
    node(runtime::event_loop& loop, std::string name, std::string address)
        : links(
              loop,
              {.name = std::move(name), .incarnation = 1, .listen_address = std::move(address)},
              [this](std::string_view sender, std::uint64_t /*incarnation*/,
                     std::string_view body) {
                  received.push_back(std::string{sender} + ':' + std::string{body});
                  if (on_received) {
                      on_received();
                  }
              },
              [this](std::string_view /*peer*/, link_change change) {
                  report_reachability(change, [this](bool reachable) {
                      states.push_back(reachable);
                      if (on_state) {
                          on_state();
                      }
                  });
              }) {}

    std::vector<std::string> received;
    std::vector<bool> states;
    std::function<void()> on_received;
    std::function<void()> on_state;
    peer_links links;
};

} // namespace hawthornstall::net
