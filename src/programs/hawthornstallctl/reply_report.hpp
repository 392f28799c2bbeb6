#pragma once

/// Sentences about replies that are not plain successes.

#include "hawthornstallctl/entry_client.hpp"
#include "hawthornstallctl/exit_code.hpp"

#include <iosfwd>

namespace hawthornstall::ctl {

/// Writes what went wrong, at which step and peer, and what to do next.
[[nodiscard]] exit_code report_failure(const entry_reply& reply, std::ostream& err);

} // namespace hawthornstall::ctl
