#pragma once

/// Settings of hawthornstall-entryd.

#include "hawthornstall/core/log_level.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/settings/credentials.hpp"
#include "hawthornstall/settings/host_entries.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Another entry host, of any zone.
struct entry_peer {
    host_entry host;
    std::string zone;
    double weight = 1.0; ///< Relative capacity, for the choice of owners.

    bool operator==(const entry_peer&) const = default;
};

/// Settings of one entry host.
struct entry_settings {
    std::string name;
    std::string zone;
    double weight = 1.0;         ///< Relative capacity, for the choice of owners.
    socket_address http_address; ///< For callers, targets and operators.
    socket_address peer_address; ///< For the other hosts of the system.
    std::uint32_t http_threads = 2;
    std::vector<entry_peer> peers;             ///< All other entry hosts.
    std::vector<std::string> journal_replicas; ///< Names of the journal replicas of this zone.
    std::vector<host_entry> control_hosts;
    std::string tokens_file; ///< Empty when the tokens are in the settings.
    std::vector<credential> credentials;
    std::optional<std::string> data_folder; ///< Where the last copy of the documents is saved.
    core::log_level level = core::log_level::info;
    core::duration_ms shutdown_grace{30'000}; ///< Running requests are aborted after this time.

    bool operator==(const entry_settings&) const = default;
};

/// Checks the document as a whole; the error lists every problem with its path. The credentials
/// stay empty when the document names a tokens file.
[[nodiscard]] absl::StatusOr<entry_settings> parse_entry_settings(std::string_view text);

/// Reads and checks the file at `path` and the tokens file that it names, if any. The path of the
/// tokens file is relative to the folder of `path`.
[[nodiscard]] absl::StatusOr<entry_settings> load_entry_settings(std::string_view path);

} // namespace hawthornstall::settings
