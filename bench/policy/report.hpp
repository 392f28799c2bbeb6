#pragma once

/// The output formats of the policy benchmark.

#include "policy/run_result.hpp"

#include <iosfwd>
#include <span>
#include <string>

namespace hawthornstall::policy_bench {

/// Writes the header of the table, and one row per result.
void write_table_header(std::ostream& out);
void write_table_row(std::ostream& out, const run_result& result);

/// Returns all results as a JSON array, for plots.
[[nodiscard]] std::string to_json(std::span<const run_result> results);

} // namespace hawthornstall::policy_bench
