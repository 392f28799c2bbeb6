#pragma once

/// Announces a target to one of several entry hosts.

#include "hawthornstall/core/target.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::tools {

/// Sends an announcement every second to the entry host that last took one, and to the next one
/// when it fails.
class announcer {
public:
    /// `description` holds everything but the sequence. `hosts` are "ip:port" of entry hosts.
    announcer(runtime::event_loop& loop, net::http_client& client,
              core::target_announcement description, std::vector<std::string> hosts);

    /// Announces once and from then on every second.
    void start();

    /// Tells one entry host that the target leaves, and stops announcing. `done` is called once
    /// with whether an entry host took the message.
    void leave(const std::function<void(bool taken)>& done);

private:
    void announce();
    /// `path` must be a literal, since it is used again for the next host.
    void send(std::string_view path, std::size_t hosts_left,
              const std::function<void(bool taken)>& done);

    runtime::event_loop& loop_;
    net::http_client& client_;
    core::target_announcement description_;
    std::vector<std::string> hosts_;
    std::size_t current_host_ = 0;
    bool sending_ = false;
    runtime::event_handle timer_;
};

} // namespace hawthornstall::tools
