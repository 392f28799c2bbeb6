#pragma once

/// Values that travel through the front end's pipeline for edits.

#include "hawthornstall/settings/credentials.hpp"

#include <string_view>

namespace hawthornstall::entry {

/// An edit as it arrived; views are valid during the call of the pipeline.
struct arrived_edit {
    std::string_view authorization;
    std::string_view service;
    std::string_view base_version; ///< Version that the edit starts from, as text.
    std::string_view edit_id;
    std::string_view body;
};

/// An edit whose sender may edit documents of its team.
struct authorized_edit {
    arrived_edit edit;
    settings::principal editor;
};

} // namespace hawthornstall::entry
