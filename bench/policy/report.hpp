#pragma once

/// Output of the policy benchmark.

#include "policy/run_result.hpp"

#include <iosfwd>
#include <span>
#include <string>

namespace hawthornstall::policy_bench {

/// Header and one line per result.
void write_table_header(std::ostream& out);
void write_table_row(std::ostream& out, const run_result& result);

/// JSON array of all results, for plots.
[[nodiscard]] std::string to_json(std::span<const run_result> results);

} // namespace hawthornstall::policy_bench
