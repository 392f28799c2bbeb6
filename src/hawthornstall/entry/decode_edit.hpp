#pragma once

/// Second filter for edits: from headers and body to a typed command.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/entry/arrived_edit.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <utility>

namespace hawthornstall::entry {

/// Parses and checks the document as a whole.
class decode_edit {
public:
    /// `host` is the name of this entry host, for the audit trail.
    explicit decode_edit(std::string host) : host_(std::move(host)) {}

    [[nodiscard]] absl::StatusOr<control::edit_command>
    operator()(const authorized_edit& authorized) const;

private:
    std::string host_;
};

} // namespace hawthornstall::entry
