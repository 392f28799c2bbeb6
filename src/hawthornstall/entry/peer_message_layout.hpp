#pragma once

/// Wire layouts of the messages between entry hosts.

#include "hawthornstall/entry/peer_message.hpp"
#include "hawthornstall/journal/layouts.hpp"
#include "hawthornstall/membership/wire_layouts.hpp"
#include "hawthornstall/wire/job_layouts.hpp"

namespace hawthornstall::wire {

template <> struct layout<entry::forward_job> {
    static constexpr auto members = std::tuple{&entry::forward_job::number,
                                               &entry::forward_job::zone, &entry::forward_job::job};
};

template <> struct layout<entry::job_done> {
    static constexpr auto members = std::tuple{&entry::job_done::number, &entry::job_done::answer};
};

template <> struct layout<entry::not_owner> {
    static constexpr auto members = std::tuple{&entry::not_owner::number};
};

template <> struct layout<entry::owned_shard> {
    static constexpr auto members = std::tuple{
        &entry::owned_shard::service, &entry::owned_shard::epoch, &entry::owned_shard::generation};
};

template <> struct layout<entry::ownership_notice> {
    static constexpr auto members =
        std::tuple{&entry::ownership_notice::draining, &entry::ownership_notice::config_revision,
                   &entry::ownership_notice::config_age_ms, &entry::ownership_notice::owned};
};

} // namespace hawthornstall::wire
