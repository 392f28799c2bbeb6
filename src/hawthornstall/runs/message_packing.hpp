#pragma once

/// Encoding of the messages that one entry host sends to another in one iteration of its event
/// loop. Grants and starts for the same submission share what they have in common: the
/// specification of a job, for example, travels once to each lease holder and not once for each
/// task. The messages themselves stay independent of this.

#include "hawthornstall/runs/run_messages.hpp"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// Receives the alternative of run_message, how many messages of it were encoded together, and
/// their encoded size.
using packed_size_handler = std::function<void(std::size_t, std::size_t, std::size_t)>;

/// Encodes `messages` in their order.
[[nodiscard]] std::string pack_messages(std::span<const run_message> messages,
                                        const packed_size_handler& on_size);

/// Inverse of pack_messages(). Fails when `bytes` is malformed.
[[nodiscard]] absl::StatusOr<std::vector<run_message>> unpack_messages(std::string_view bytes);

} // namespace hawthornstall::runs
