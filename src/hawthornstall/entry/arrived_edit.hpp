#pragma once

/// Values that pass from filter to filter in the front end's pipeline for edits.

#include "hawthornstall/settings/credentials.hpp"

#include <string_view>

namespace hawthornstall::entry {

/// An edit as received. The views are valid while the pipeline runs.
struct arrived_edit {
    std::string_view authorization;
    std::string_view service;
    std::string_view base_version; ///< Version that the edit replaces, as text.
    std::string_view edit_id;
    std::string_view body;
};

/// An edit whose sender may edit the documents of its team.
struct authorized_edit {
    arrived_edit edit;
    settings::principal editor;
};

} // namespace hawthornstall::entry
