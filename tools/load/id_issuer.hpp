#pragma once

/// Submission identifiers for a caller: issued by an entry host, completed by the caller's key.

#include "hawthornstall/core/submission_id.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::tools {

/// Asks each entry host for an identifier from time to time and derives one per job from it.
class id_issuer {
public:
    id_issuer(runtime::event_loop& loop, net::http_client& client, std::vector<std::string> hosts,
              std::string service, std::string token);

    /// Asks every host now and then every few seconds; `issued` is called after each identifier.
    void start(std::function<void()> issued);

    /// Identifier for a job that goes to host `index`; empty while that host has issued none.
    [[nodiscard]] std::optional<core::submission_id> make(std::size_t index, std::string key) const;

    /// Hosts that have issued an identifier.
    [[nodiscard]] std::size_t ready() const;

private:
    void ask_all();
    void ask(std::size_t index);

    runtime::event_loop& loop_;
    net::http_client& client_;
    std::vector<std::string> hosts_;
    std::string body_;
    std::string authorization_;
    std::function<void()> notify_;
    std::vector<std::optional<core::submission_id>> issued_;
    runtime::event_handle timer_;
};

} // namespace hawthornstall::tools
