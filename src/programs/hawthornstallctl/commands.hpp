#pragma once

/// The commands of hawthornstallctl.

#include "hawthornstallctl/entry_client.hpp"
#include "hawthornstallctl/exit_code.hpp"

#include <iosfwd>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::ctl {

/// What the command line says apart from the command.
struct command_options {
    entry_access access;
    std::string edit_id;      ///< Identifier of an edit that is sent again; empty for a new edit.
    std::string base_version; ///< Empty takes the version stated in the document.
    bool json = false;        ///< Answers as JSON instead of tables and sentences.
};

/// Where a command writes: results to `out`, errors and progress to `err`.
struct command_output {
    std::ostream& out;
    std::ostream& err;
};

/// Runs `words` (a command and its arguments).
[[nodiscard]] exit_code run_command(std::span<const std::string> words,
                                    const command_options& options, command_output output);

/// Commands and exit codes, for people.
[[nodiscard]] std::string usage();

} // namespace hawthornstall::ctl
