#pragma once

/// Wire layouts of the configuration log and of the consensus messages.

#include "hawthornstall/control/consensus_messages.hpp"
#include "hawthornstall/control/document_layouts.hpp"

namespace hawthornstall::wire {

template <> struct layout<control::member_id> {
    using type = control::member_id;
    static constexpr auto members = std::tuple{&type::host, &type::storage_id};
};

template <> struct layout<control::member_set> {
    using type = control::member_set;
    static constexpr auto members = std::tuple{&type::voters, &type::learners};
};

template <> struct layout<control::no_operation> { static constexpr auto members = std::tuple{}; };

template <> struct layout<control::log_position> {
    using type = control::log_position;
    static constexpr auto members = std::tuple{&type::term, &type::index};
};

template <> struct layout<control::synced_position> {
    using type = control::synced_position;
    static constexpr auto members = std::tuple{&type::sequence, &type::position};
};

template <> struct layout<control::log_entry> {
    using type = control::log_entry;
    static constexpr auto members = std::tuple{&type::position, &type::payload};
};

template <> struct layout<control::hard_state> {
    using type = control::hard_state;
    static constexpr auto members =
        std::tuple{&type::self, &type::cluster_id, &type::term, &type::voted_for};
};

template <> struct layout<control::log_snapshot> {
    using type = control::log_snapshot;
    static constexpr auto members = std::tuple{&type::position, &type::members, &type::state};
};

template <> struct layout<control::vote_request> {
    using type = control::vote_request;
    static constexpr auto members = std::tuple{&type::pre_vote, &type::term, &type::last};
};

template <> struct layout<control::vote_reply> {
    using type = control::vote_reply;
    static constexpr auto members = std::tuple{&type::pre_vote, &type::term, &type::granted};
};

template <> struct layout<control::append_request> {
    using type = control::append_request;
    static constexpr auto members =
        std::tuple{&type::term,  &type::previous,         &type::commit,
                   &type::round, &type::confirmation_age, &type::entries};
};

template <> struct layout<control::append_reply> {
    using type = control::append_reply;
    static constexpr auto members =
        std::tuple{&type::term, &type::matched, &type::index, &type::round};
};

template <> struct layout<control::snapshot_request> {
    using type = control::snapshot_request;
    static constexpr auto members = std::tuple{&type::term, &type::round, &type::snapshot};
};

template <> struct layout<control::join_request> { static constexpr auto members = std::tuple{}; };

template <> struct layout<control::peer_message> {
    using type = control::peer_message;
    static constexpr auto members =
        std::tuple{&type::cluster_id, &type::from, &type::to, &type::body};
};

} // namespace hawthornstall::wire
