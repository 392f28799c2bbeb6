#pragma once

/// Entry point and usage text of the commands of hawthornstallctl.

#include "hawthornstallctl/entry_client.hpp"
#include "hawthornstallctl/exit_code.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::ctl {

/// Options of a command, as set by the command-line flags.
struct command_options {
    entry_access access;
    std::string edit_id;      ///< Identifier of an edit to send again; empty generates a new one.
    std::string base_version; ///< Version to replace; empty uses the version in the document.
    bool json = false;        ///< Writes results as JSON instead of tables and text.
};

/// Output streams of a command: results go to `out`, errors and progress to `err`.
struct command_output {
    std::ostream& out;
    std::ostream& err;
};

/// Runs the command named by the first element of `arguments` with the rest as its arguments, and
/// returns the exit code of the process.
[[nodiscard]] exit_code run_command(std::span<const std::string> arguments,
                                    const command_options& options, command_output output);

/// Usage text that lists the commands and the exit codes.
[[nodiscard]] std::string usage();

} // namespace hawthornstall::ctl
