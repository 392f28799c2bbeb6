#pragma once

/// Edits shared by the tests of this area.

#include "hawthornstall/control/document_edit.hpp"

#include <string>

namespace hawthornstall::control {

/// Edit of `service` by its owning team "vans".
inline edit_command make_edit(std::string edit_id, std::uint64_t base_version,
                              std::string service = "routes") {
    edit_command edit;
    edit.edit_id = std::move(edit_id);
    edit.service = service;
    edit.base_version = base_version;
    edit.document.service = std::move(service);
    edit.document.team = "vans";
    edit.actor = "ana";
    edit.actor_team = "vans";
    edit.wall_time = core::from_count(1'764'800'000'000);
    edit.host = "entry-1";
    return edit;
}

} // namespace hawthornstall::control
