#pragma once

/// Exit codes of hawthornstallctl, for scripts.

namespace hawthornstall::ctl {

enum class exit_code : int {
    ok = 0,
    refused = 1,     ///< The system refused the request; nothing was changed.
    usage = 2,       ///< Wrong command line, unreadable file or invalid document; nothing was sent.
    unreachable = 3, ///< No entry host could be reached; nothing was changed.
    unknown = 4,     ///< The answer was lost; an edit may be in force.
    conflict = 5,    ///< Another edit of the document came first.
};

} // namespace hawthornstall::ctl
