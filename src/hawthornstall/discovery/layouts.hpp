#pragma once

/// Wire layouts of the discovery messages.

#include "hawthornstall/discovery/messages.hpp"
#include "hawthornstall/wire/layout.hpp"

namespace hawthornstall::wire {

template <> struct layout<core::resources> {
    using type = core::resources;
    static constexpr auto members =
        std::tuple{&type::cpu_millis, &type::memory_mb, &type::accelerators};
};

template <> struct layout<discovery::target_record> {
    using type = discovery::target_record;
    static constexpr auto members = std::tuple{
        &type::id,   &type::incarnation, &type::sequence, &type::service,  &type::address,
        &type::zone, &type::labels,      &type::capacity, &type::draining, &type::cold_for};
};

template <> struct layout<discovery::host_record> {
    using type = discovery::host_record;
    static constexpr auto members = std::tuple{&type::name, &type::zone, &type::weight};
};

template <> struct layout<discovery::host_hello> {
    using type = discovery::host_hello;
    static constexpr auto members = std::tuple{&type::host, &type::config_revision};
};

template <> struct layout<discovery::host_list> {
    using type = discovery::host_list;
    static constexpr auto members = std::tuple{&type::entry_hosts, &type::control_hosts};
};

template <> struct layout<discovery::target_updates> {
    using type = discovery::target_updates;
    static constexpr auto members = std::tuple{&type::targets, &type::departed};
};

} // namespace hawthornstall::wire
