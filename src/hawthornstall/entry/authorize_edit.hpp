#pragma once

/// First filter for edits: who sends this, and may the sender edit documents at all.

#include "hawthornstall/entry/arrived_edit.hpp"

#include <absl/status/statusor.h>

#include <span>

namespace hawthornstall::entry {

/// Admits holders of a team's token. Whether the team owns the document is decided by the
/// configuration log.
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
