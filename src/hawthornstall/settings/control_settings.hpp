#pragma once

/// Settings of hawthornstall-controld.

#include "hawthornstall/core/log_level.hpp"
#include "hawthornstall/settings/host_entries.hpp"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Settings of one control host.
struct control_settings {
    std::string name;
    socket_address peer_address;
    std::vector<host_entry> voters; ///< Initial members of the replicated log. This host is not
                                    ///< among them if it joins later.
    std::string data_folder;
    std::vector<host_entry> entry_hosts;           ///< Hosts whose subscriptions are answered.
    std::optional<socket_address> metrics_address; ///< Metrics are not served without it.
    core::log_level level = core::log_level::info;

    bool operator==(const control_settings&) const = default;
};

/// Checks the document as a whole; the error lists every problem with its path.
[[nodiscard]] absl::StatusOr<control_settings> parse_control_settings(std::string_view text);

/// Reads and checks the file at `path`.
[[nodiscard]] absl::StatusOr<control_settings> load_control_settings(std::string_view path);

} // namespace hawthornstall::settings
