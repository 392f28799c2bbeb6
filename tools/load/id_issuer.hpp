#pragma once

/// Submission identifiers for jobs: an entry host issues them and the caller adds its own key.

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

/// Requests an identifier from each entry host every few seconds and derives the identifiers of
/// jobs from the latest one by replacing its key.
class id_issuer {
public:
    id_issuer(runtime::event_loop& loop, net::http_client& client, std::vector<std::string> hosts,
              std::string service, std::string token);

    /// Requests identifiers from all hosts at once and then periodically. Calls `issued` each time
    /// that a host has issued one.
    void start(std::function<void()> issued);

    /// Returns an identifier with `key` for a job that is sent to host `index`, or nothing while
    /// that host has issued none.
    [[nodiscard]] std::optional<core::submission_id> make(std::size_t index, std::string key) const;

    /// Number of hosts that have issued an identifier.
    [[nodiscard]] std::size_t hosts_with_id() const;

private:
    void request_all();
    void request(std::size_t index);

    runtime::event_loop& loop_;
    net::http_client& client_;
    std::vector<std::string> hosts_;
    std::string body_;
    std::string authorization_;
    std::function<void()> issued_callback_;
    std::vector<std::optional<core::submission_id>> issued_;
    runtime::event_handle timer_;
};

} // namespace hawthornstall::tools
