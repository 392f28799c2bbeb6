#pragma once

/// Wire layouts of service documents, edits, the document store's snapshot, and the subscription
/// messages: subscribe, delta and digest.

#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_messages.hpp"
#include "hawthornstall/control/document_store.hpp"
#include "hawthornstall/wire/layout.hpp"

namespace hawthornstall::wire {

template <> struct layout<core::capacity_model> {
    static constexpr auto last = core::capacity_model::worker;
};

template <> struct layout<core::queue_order> {
    static constexpr auto last = core::queue_order::fewest_remaining;
};

template <> struct layout<core::task_shape> {
    using type = core::task_shape;
    static constexpr auto members =
        std::tuple{&type::cores, &type::memory_mb, &type::accelerators, &type::expected_run_time};
};

template <> struct layout<core::acceptance_rules> {
    using type = core::acceptance_rules;
    static constexpr auto members = std::tuple{&type::max_tasks_per_job, &type::max_payload_bytes,
                                               &type::max_answer_bytes, &type::callers};
};

template <> struct layout<core::service_terms> {
    using type = core::service_terms;
    static constexpr auto members = std::tuple{&type::default_deadline, &type::max_deadline};
};

template <> struct layout<core::retry_rules> {
    using type = core::retry_rules;
    static constexpr auto members = std::tuple{&type::budget_percent, &type::max_attempts,
                                               &type::retry_failed_starts, &type::hedge};
};

template <> struct layout<core::quota_rules> {
    using type = core::quota_rules;
    static constexpr auto members = std::tuple{&type::max_queued_tasks, &type::max_running_tasks};
};

template <> struct layout<core::service_document> {
    using type = core::service_document;
    static constexpr auto members =
        std::tuple{&type::service, &type::team,    &type::version, &type::model, &type::order,
                   &type::task,    &type::accepts, &type::terms,   &type::retry, &type::quota};
};

template <> struct layout<control::edit_command> {
    using type = control::edit_command;
    static constexpr auto members =
        std::tuple{&type::edit_id, &type::service,    &type::base_version, &type::document,
                   &type::actor,   &type::actor_team, &type::wall_time,    &type::host};
};

template <> struct layout<control::edit_result> {
    static constexpr auto last = control::edit_result::store_full;
};

template <> struct layout<control::edit_answer> {
    using type = control::edit_answer;
    static constexpr auto members = std::tuple{&type::result, &type::version};
};

template <> struct layout<control::audit_record> {
    using type = control::audit_record;
    static constexpr auto members = std::tuple{
        &type::revision,     &type::edit_id,    &type::service,   &type::actor, &type::actor_team,
        &type::from_version, &type::to_version, &type::wall_time, &type::host};
};

template <> struct layout<control::edit_key> {
    using type = control::edit_key;
    static constexpr auto members = std::tuple{&type::team, &type::edit_id};
};

template <> struct layout<control::answered_edit> {
    using type = control::answered_edit;
    static constexpr auto members = std::tuple{&type::key, &type::content_hash, &type::answer};
};

template <> struct layout<control::numbered_config> {
    using type = control::numbered_config;
    static constexpr auto members =
        std::tuple{&type::version, &type::content, &type::actor, &type::wall_time, &type::host};
};

template <> struct layout<control::zone_drains> {
    using type = control::zone_drains;
    static constexpr auto members = std::tuple{&type::revision, &type::zones};
};

template <> struct layout<control::zone_drain_order> {
    using type = control::zone_drain_order;
    static constexpr auto members =
        std::tuple{&type::zone, &type::drained, &type::actor, &type::wall_time, &type::host};
};

template <> struct layout<control::store_snapshot> {
    using type = control::store_snapshot;
    static constexpr auto members = std::tuple{&type::revision,
                                               &type::documents,
                                               &type::changed_at_revision,
                                               &type::audit,
                                               &type::accepted_edits,
                                               &type::refused_edits,
                                               &type::numbered,
                                               &type::numbered_at_revision,
                                               &type::drains};
};

template <> struct layout<control::config_subscribe> {
    static constexpr auto members = std::tuple{&control::config_subscribe::revision};
};

template <> struct layout<control::config_delta> {
    using type = control::config_delta;
    static constexpr auto members = std::tuple{&type::from_revision, &type::to_revision,
                                               &type::documents, &type::numbered, &type::drains};
};

template <> struct layout<control::config_digest> {
    using type = control::config_digest;
    static constexpr auto members =
        std::tuple{&type::revision, &type::versions_hash, &type::confirmation_age};
};

} // namespace hawthornstall::wire
