#pragma once

/// Sizes of log entries, for the limits on the log and on append requests.

#include "hawthornstall/control/consensus_types.hpp"

#include <cstddef>

namespace hawthornstall::control {

/// Size of an entry in bytes, with its strings and a fixed amount for its other fields. Its
/// encoding is about as large.
[[nodiscard]] std::size_t entry_bytes(const log_entry& entry);

} // namespace hawthornstall::control
