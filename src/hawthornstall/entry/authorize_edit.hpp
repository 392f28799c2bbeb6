#pragma once

/// First filter for edits: authenticates the sender and checks that it may edit documents.

#include "hawthornstall/entry/arrived_edit.hpp"

#include <absl/status/statusor.h>

#include <span>

namespace hawthornstall::entry {

/// Admits the tokens of teams. Whether the team owns the document is checked when the edit reaches
/// the configuration log.
class authorize_edit {
public:
    /// `credentials` must outlive the filter.
    explicit authorize_edit(std::span<const settings::credential> credentials)
        : credentials_(credentials) {}

    [[nodiscard]] absl::StatusOr<authorized_edit> operator()(const arrived_edit& edit) const;

private:
    std::span<const settings::credential> credentials_;
};

} // namespace hawthornstall::entry
