#include "hawthornstall/entry/authorize_edit.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/authenticate.hpp"

#include <utility>

namespace hawthornstall::entry {

absl::StatusOr<authorized_edit> authorize_edit::operator()(const arrived_edit& edit) const {
    auto principal = find_principal(credentials_, edit.authorization);
    if (!principal.ok()) {
        return principal.status();
    }
    if (principal->kind != settings::role::team) {
        return core::make_error(absl::StatusCode::kPermissionDenied,
                                {.step = "authorize_edit", .peer = {}},
                                "only a team's token may edit documents");
    }
    return authorized_edit{.edit = edit, .editor = *std::move(principal)};
}

} // namespace hawthornstall::entry
