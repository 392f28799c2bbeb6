#pragma once

/// Rows of the operators' status tables about hosts and targets.

#include "hawthornstall/discovery/target_directory.hpp"
#include "hawthornstall/runs/host_membership.hpp"
#include "hawthornstall/runs/target_holder.hpp"
#include "hawthornstall/status/status_rows.hpp"

#include <vector>

namespace hawthornstall::runs {

/// One row for this host and for each host that it considers alive.
[[nodiscard]] std::vector<status::host_row> host_rows(const host_membership& hosts);

/// One row for each known target, with its lease holder and, if it takes no runs, the reason.
[[nodiscard]] std::vector<status::target_row>
target_rows(const discovery::target_directory& directory, const target_holder& holder,
            const host_membership& hosts);

} // namespace hawthornstall::runs
