#pragma once

/// Commands that create or change a service document.

#include "hawthornstall/core/service_document.hpp"
#include "hawthornstallctl/commands.hpp"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>

namespace hawthornstall::ctl {

/// Whether an edit creates a document or changes an existing one.
enum class edit_kind : std::uint8_t { create, change };

/// A service document as the text in its file and in parsed form.
struct document_file {
    std::string text;
    core::service_document parsed;
};

/// Reads and validates the service document in the file at `path`. On failure, writes every
/// problem to `err` and returns nothing.
[[nodiscard]] std::optional<document_file> read_document(const std::string& path,
                                                         std::ostream& err);

/// Sends the document in the file at `path` as a compare-and-set edit. Writes the edit identifier
/// before anything is sent, and retries a request whose answer was lost under the same identifier,
/// so that the edit is not applied twice.
[[nodiscard]] exit_code run_edit(edit_kind kind, const std::string& path,
                                 const command_options& options, command_output output);

} // namespace hawthornstall::ctl
