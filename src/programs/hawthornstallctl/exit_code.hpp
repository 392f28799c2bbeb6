#pragma once

/// Exit codes of hawthornstallctl.

namespace hawthornstall::ctl {

/// Outcome of a command. Scripts rely on the values.
enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< The request was refused; nothing was changed.
    usage = 2,       ///< Wrong command line, unreadable file or invalid document; nothing was sent.
    unreachable = 3, ///< No entry host could be reached; nothing was changed.
    unknown = 4,     ///< The answer was lost; an edit may be in force.
    conflict = 5,    ///< Another edit of the document came first.
};

} // namespace hawthornstall::ctl
