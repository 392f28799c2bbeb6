#pragma once

/// Announcements of a target to entry hosts.

#include "hawthornstall/core/target.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::tools {

/// Sends an announcement every second to the entry host that accepted the last one, and fails over
/// to the next host when that host does not accept it.
class announcer {
public:
    /// `description` holds all fields but the sequence number, which is set for each message.
    /// `hosts` are "ip:port" of entry hosts.
    announcer(runtime::event_loop& loop, net::http_client& client,
              core::target_announcement description, std::vector<std::string> hosts);

    /// Announces at once and then every second.
    void start();

    /// Stops the announcements and tells an entry host that the target leaves. Calls `done` once
    /// with whether a host accepted the message.
    void leave(const std::function<void(bool accepted)>& done);

private:
    void announce();
    /// Sends to the current host and, on failure, to the next ones, `hosts_left` in all. `path`
    /// must be a string literal, since callbacks keep the view for the next host.
    void send(std::string_view path, std::size_t hosts_left,
              const std::function<void(bool accepted)>& done);

    runtime::event_loop& loop_;
    net::http_client& client_;
    core::target_announcement description_;
    std::vector<std::string> hosts_;
    std::size_t current_host_ = 0;
    bool sending_ = false;
    runtime::event_handle timer_;
};

} // namespace hawthornstall::tools
