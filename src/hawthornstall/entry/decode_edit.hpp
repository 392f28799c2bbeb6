#pragma once

/// Second filter for edits: decodes the headers and the body into an edit command.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/entry/arrived_edit.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <utility>

namespace hawthornstall::entry {

/// Parses the base version and the document, and checks the document.
class decode_edit {
public:
    /// `host` is the name of this entry host, for the audit records.
    explicit decode_edit(std::string host) : host_(std::move(host)) {}

    [[nodiscard]] absl::StatusOr<control::edit_command>
    operator()(const authorized_edit& authorized) const;

private:
    std::string host_;
};

} // namespace hawthornstall::entry
