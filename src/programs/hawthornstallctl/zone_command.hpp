#pragma once

/// Commands that drain an availability zone and end its drain.

#include "hawthornstallctl/commands.hpp"

#include <string>

namespace hawthornstall::ctl {

/// Asks a control host to drain `zone`, or to end its drain, and reports the outcome. The order is
/// idempotent, so a lost answer only needs the same command again.
[[nodiscard]] exit_code run_zone_drain(const std::string& zone, bool drained,
                                       const command_options& options, command_output output);

} // namespace hawthornstall::ctl
