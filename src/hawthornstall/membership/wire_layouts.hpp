#pragma once

/// Wire layouts of the membership messages. Include together with wire/codec.hpp.

#include "hawthornstall/membership/messages.hpp"
#include "hawthornstall/wire/layout.hpp"

#include <tuple>

namespace hawthornstall::wire {

template <> struct layout<core::target_capacity> {
    static constexpr auto members =
        std::tuple{&core::target_capacity::slots, &core::target_capacity::connections,
                   &core::target_capacity::cores, &core::target_capacity::memory_mb,
                   &core::target_capacity::accelerators};
};

template <> struct layout<core::target_announcement> {
    static constexpr auto members =
        std::tuple{&core::target_announcement::name,     &core::target_announcement::incarnation,
                   &core::target_announcement::sequence, &core::target_announcement::zone,
                   &core::target_announcement::rack,     &core::target_announcement::address,
                   &core::target_announcement::services, &core::target_announcement::capacity,
                   &core::target_announcement::lease,    &core::target_announcement::leaving};
};

template <> struct layout<membership::clock_sample> {
    static constexpr auto members =
        std::tuple{&membership::clock_sample::sent_at, &membership::clock_sample::echo_incarnation,
                   &membership::clock_sample::echo_sent_at, &membership::clock_sample::echo_age};
};

template <> struct layout<membership::table_change> {
    static constexpr auto members =
        std::tuple{&membership::table_change::slot, &membership::table_change::content};
};

template <> struct layout<membership::target_delta> {
    static constexpr auto members =
        std::tuple{&membership::target_delta::clock, &membership::target_delta::base_version,
                   &membership::target_delta::version, &membership::target_delta::changes,
                   &membership::target_delta::ages};
};

template <> struct layout<membership::target_digest> {
    static constexpr auto members =
        std::tuple{&membership::target_digest::version, &membership::target_digest::digest};
};

template <> struct layout<membership::target_state_request> {
    static constexpr auto members = std::tuple{};
};

template <> struct layout<membership::target_state> {
    static constexpr auto members =
        std::tuple{&membership::target_state::clock, &membership::target_state::version,
                   &membership::target_state::rows, &membership::target_state::ages};
};

template <> struct layout<membership::target_correction> {
    static constexpr auto members = std::tuple{&membership::target_correction::announcements};
};

} // namespace hawthornstall::wire
