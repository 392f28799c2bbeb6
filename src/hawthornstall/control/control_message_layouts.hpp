#pragma once

/// Wire layouts of the requests that control hosts forward to the leader, and of the replies.

#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/control_messages.hpp"
#include "hawthornstall/control/entry_message_layouts.hpp"

namespace hawthornstall::wire {

template <> struct layout<control::forwarded_request> {
    static constexpr auto members =
        std::tuple{&control::forwarded_request::entry_host, &control::forwarded_request::request};
};

template <> struct layout<control::forwarded_reply> {
    static constexpr auto members =
        std::tuple{&control::forwarded_reply::entry_host, &control::forwarded_reply::reply};
};

} // namespace hawthornstall::wire
