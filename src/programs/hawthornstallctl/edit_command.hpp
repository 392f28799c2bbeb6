#pragma once

/// Creation and change of service documents.

#include "hawthornstall/core/service_document.hpp"
#include "hawthornstallctl/commands.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace hawthornstall::ctl {

/// Whether the document exists before the edit.
enum class edit_kind : std::uint8_t { create, change };

/// A document as written and as understood.
struct document_file {
    std::string text;
    core::service_document parsed;
};

/// Reads and checks the file at `path`; every problem is written to `err`.
[[nodiscard]] std::optional<document_file> read_document(const std::string& path,
                                                         std::ostream& err);

/// Sends the document in the file at `path` as a compare-and-set edit. The edit's identifier is
/// written before anything is sent, and lost answers are asked for again under the same one.
[[nodiscard]] exit_code run_edit(edit_kind kind, const std::string& path,
                                 const command_options& options, command_output output);

} // namespace hawthornstall::ctl
