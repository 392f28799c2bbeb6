#pragma once

/// Wire layouts of the messages between control hosts.

#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/entry_message_layouts.hpp"
#include "hawthornstall/control_host/control_messages.hpp"

namespace hawthornstall::wire {

template <> struct layout<control_host::forwarded_edit> {
    using type = control_host::forwarded_edit;
    static constexpr auto members = std::tuple{&type::number, &type::edit};
};

template <> struct layout<control_host::forwarded_answer> {
    using type = control_host::forwarded_answer;
    static constexpr auto members = std::tuple{&type::number, &type::answer};
};

} // namespace hawthornstall::wire
