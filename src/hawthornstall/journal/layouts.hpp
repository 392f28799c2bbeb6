#pragma once

/// Wire layouts of the journal's messages. Included only where messages are encoded or decoded.

#include "hawthornstall/journal/messages.hpp"
#include "hawthornstall/wire/layout.hpp"

namespace hawthornstall::wire {

template <> struct layout<core::outcome_class> {
    static constexpr core::outcome_class last = core::outcome_class::may_have_run;
};

template <> struct layout<journal::shard_id> {
    static constexpr auto members =
        std::tuple{&journal::shard_id::service, &journal::shard_id::zone};
};

template <> struct layout<journal::submission_key> {
    static constexpr auto members =
        std::tuple{&journal::submission_key::issued, &journal::submission_key::key};
};

template <> struct layout<journal::content_digest> {
    static constexpr auto members =
        std::tuple{&journal::content_digest::low, &journal::content_digest::high};
};

template <> struct layout<journal::submission_registration> {
    static constexpr auto members = std::tuple{&journal::submission_registration::digest,
                                               &journal::submission_registration::task_count};
};

template <> struct layout<journal::task_start> {
    static constexpr auto members =
        std::tuple{&journal::task_start::task, &journal::task_start::attempt};
};

template <> struct layout<journal::task_end> {
    static constexpr auto members =
        std::tuple{&journal::task_end::task, &journal::task_end::attempt,
                   &journal::task_end::outcome, &journal::task_end::retry_allowed};
};

template <> struct layout<journal::job_end> {
    static constexpr auto members =
        std::tuple{&journal::job_end::outcome, &journal::job_end::reason,
                   &journal::job_end::results, &journal::job_end::answer_kept};
};

template <> struct layout<journal::job_records> {
    static constexpr auto members = std::tuple{
        &journal::job_records::submission, &journal::job_records::registration,
        &journal::job_records::starts, &journal::job_records::ends, &journal::job_records::end};
};

template <> struct layout<journal::task_state> {
    static constexpr auto members = std::tuple{
        &journal::task_state::attempt, &journal::task_state::epoch, &journal::task_state::end_epoch,
        &journal::task_state::outcome, &journal::task_state::retry_allowed};
};

template <> struct layout<journal::submission_state> {
    static constexpr auto members =
        std::tuple{&journal::submission_state::registration, &journal::submission_state::epoch,
                   &journal::submission_state::tasks, &journal::submission_state::end};
};

template <> struct layout<journal::submission_entry> {
    static constexpr auto members =
        std::tuple{&journal::submission_entry::submission, &journal::submission_entry::state};
};

template <> struct layout<journal::shard_snapshot> {
    static constexpr auto members =
        std::tuple{&journal::shard_snapshot::written_by, &journal::shard_snapshot::forgotten_before,
                   &journal::shard_snapshot::submissions};
};

template <> struct layout<journal::owner_identity> {
    static constexpr auto members =
        std::tuple{&journal::owner_identity::host, &journal::owner_identity::incarnation};
};

template <> struct layout<journal::owner_term> {
    static constexpr auto members = std::tuple{
        &journal::owner_term::shard, &journal::owner_term::epoch, &journal::owner_term::owner};
};

template <> struct layout<journal::fence> {
    static constexpr auto members =
        std::tuple{&journal::fence::term, &journal::fence::wants_snapshot};
};

template <> struct layout<journal::append> {
    static constexpr auto members =
        std::tuple{&journal::append::term, &journal::append::generation, &journal::append::sequence,
                   &journal::append::forget_before, &journal::append::records};
};

template <> struct layout<journal::install_snapshot> {
    static constexpr auto members =
        std::tuple{&journal::install_snapshot::term, &journal::install_snapshot::generation,
                   &journal::install_snapshot::incarnation, &journal::install_snapshot::sequence,
                   &journal::install_snapshot::state};
};

template <> struct layout<journal::replica_status> {
    static constexpr auto members =
        std::tuple{&journal::replica_status::replica, &journal::replica_status::incarnation,
                   &journal::replica_status::generation, &journal::replica_status::may_hold_records,
                   &journal::replica_status::promised};
};

template <> struct layout<journal::form_generation> {
    static constexpr auto members =
        std::tuple{&journal::form_generation::term, &journal::form_generation::generation,
                   &journal::form_generation::expected};
};

template <> struct layout<journal::fence_reply> {
    static constexpr auto members = std::tuple{
        &journal::fence_reply::shard, &journal::fence_reply::epoch, &journal::fence_reply::status,
        &journal::fence_reply::accepted, &journal::fence_reply::snapshot};
};

template <> struct layout<journal::ack> {
    static constexpr auto members =
        std::tuple{&journal::ack::shard, &journal::ack::epoch, &journal::ack::status,
                   &journal::ack::accepted, &journal::ack::applied};
};

} // namespace hawthornstall::wire
