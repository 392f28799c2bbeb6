#pragma once

/// Limits on the clients of one host, as they follow from its settings.

#include "hawthornstall/settings/seeded_settings.hpp"

#include <cstddef>
#include <cstdint>

namespace hawthornstall::settings {

/// What all clients of one listening address may hold together.
struct client_limits {
    std::size_t max_bytes = 0;
    std::size_t max_connections = 0;

    bool operator==(const client_limits&) const = default;
};

/// The limits that the settings give or that follow from the machine: a quarter of its memory, and
/// half of the descriptors beyond the 200 that files, links and calls to targets need. The
/// descriptors are `open_file_limit` unless the settings give fewer.
[[nodiscard]] client_limits derive_client_limits(const seeded_settings& settings,
                                                 std::uint64_t open_file_limit);

/// Number of descriptors that this process may open.
[[nodiscard]] std::uint64_t open_file_limit();

} // namespace hawthornstall::settings
