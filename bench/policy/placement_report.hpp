#pragma once

/// Output of the placement suite.

#include "policy/placement_record.hpp"

#include <iosfwd>
#include <string_view>

namespace hawthornstall::policy_bench {

/// Writes the header of the table.
void write_placement_header(std::ostream& out);

/// Writes one row: shares of the jobs as "in time/late/refused/not done" in percent, over all and
/// by queue, the waits of the largest tenth of the tasks in ms, and the use of the targets.
void write_placement_row(std::ostream& out, std::string_view workload, std::string_view policy,
                         const placement_result& result);

} // namespace hawthornstall::policy_bench
