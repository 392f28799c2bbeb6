#pragma once

/// Readers of the fields that the settings of both daemons have.

#include "hawthornstall/core/log_level.hpp"
#include "hawthornstall/settings/object_checker.hpp"
#include "hawthornstall/settings/socket_address.hpp"

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Name and peer address of a host.
struct host_entry {
    std::string name;
    socket_address peer_address;

    bool operator==(const host_entry&) const = default;
};

/// Maximum number of hosts in one list: 18 zones, which is the design scale, with 32 entry hosts
/// each, which leaves a margin.
constexpr std::size_t max_hosts = 576;

/// Range of the relative capacity of an entry host.
inline constexpr real_range weight_range{0.01, 100.0};

/// Reads an address at `key`.
void read_address(object_checker& fields, std::string_view key, presence need,
                  socket_address& address);

/// Reads an address at `key` if there is one.
void read_optional_address(object_checker& fields, std::string_view key,
                           std::optional<socket_address>& address);

/// Reads "log_level".
void read_log_level(object_checker& fields, core::log_level& level);

/// Reads the array of {"name", "peer_address"} at `key`; names and addresses must be distinct.
[[nodiscard]] std::vector<host_entry> read_hosts(object_checker& fields, std::string_view key,
                                                 presence need, list_range range);

/// Reports the name and the address of `host`, read from `entry`, when an earlier host has them.
void check_distinct(object_checker& entry, const host_entry& host,
                    std::span<const host_entry> earlier);

} // namespace hawthornstall::settings
