#pragma once

/// Error messages for failed requests.

#include "hawthornstallctl/entry_client.hpp"
#include "hawthornstallctl/exit_code.hpp"

#include <iosfwd>

namespace hawthornstall::ctl {

/// Writes what failed, at which step and peer, and what to do next, and returns the exit code. The
/// exit code is `unknown` when the request may have taken effect.
[[nodiscard]] exit_code report_failure(const entry_reply& reply, std::ostream& err);

} // namespace hawthornstall::ctl
