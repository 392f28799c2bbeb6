#pragma once

/// Wire layouts of the edit, audit and numbered-configuration requests and of their replies.

#include "hawthornstall/control/document_layouts.hpp"
#include "hawthornstall/control/entry_messages.hpp"
#include "hawthornstall/discovery/layouts.hpp"

namespace hawthornstall::wire {

template <> struct layout<control::edit_request> {
    static constexpr auto members =
        std::tuple{&control::edit_request::number, &control::edit_request::edit};
};

template <> struct layout<control::edit_reply> {
    static constexpr auto members =
        std::tuple{&control::edit_reply::number, &control::edit_reply::answer};
};

template <> struct layout<control::numbered_config_put> {
    static constexpr auto members =
        std::tuple{&control::numbered_config_put::number, &control::numbered_config_put::config};
};

template <> struct layout<control::zone_drain_put> {
    static constexpr auto members =
        std::tuple{&control::zone_drain_put::number, &control::zone_drain_put::order};
};

template <> struct layout<control::numbered_config_read> {
    static constexpr auto members = std::tuple{&control::numbered_config_read::number};
};

template <> struct layout<control::numbered_config_reply> {
    static constexpr auto members = std::tuple{&control::numbered_config_reply::number,
                                               &control::numbered_config_reply::config};
};

template <> struct layout<control::audit_request> {
    static constexpr auto members =
        std::tuple{&control::audit_request::number, &control::audit_request::after_revision,
                   &control::audit_request::limit};
};

template <> struct layout<control::audit_reply> {
    static constexpr auto members =
        std::tuple{&control::audit_reply::number, &control::audit_reply::records};
};

} // namespace hawthornstall::wire
