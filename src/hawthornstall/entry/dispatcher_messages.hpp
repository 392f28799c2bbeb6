#pragma once

/// Messages between the front ends and the dispatcher of one entry host.

#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/core/admin_view.hpp"
#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/target.hpp"
#include "hawthornstall/entry/link_logic.hpp"
#include "hawthornstall/entry/reply_address.hpp"
#include "hawthornstall/entry/target_logic.hpp"

#include <absl/status/status.h>

#include <memory>
#include <string>
#include <variant>

namespace hawthornstall::entry {

/// A caller's job that has passed the front end's pipeline.
struct job_submitted {
    local_caller from;
    core::job_request job;
};

/// A caller asks for a submission identifier of `service`.
struct id_requested {
    local_caller from;
    std::string service;
};

/// A target announced itself, renewed its lease or is leaving.
struct target_announced {
    local_caller from;
    core::target_announcement announcement;
};

/// An authenticated edit of a service document.
struct edit_submitted {
    local_caller from;
    control::edit_command edit;
};

/// An operator asks for one of the administrative views.
struct view_requested {
    local_caller from;
    core::view_kind kind = core::view_kind::hosts;
};

/// The process will end: hand over ownership and finish the open jobs.
struct shutdown_requested {};

/// Everything that the dispatcher receives.
using dispatcher_message =
    std::variant<job_submitted, id_requested, target_announced, edit_submitted, view_requested,
                 task_report, incoming_message, peer_state_changed, shutdown_requested>;

/// Answer to job_submitted.
struct job_answered {
    std::uint64_t request = 0; ///< Number of the HTTP request, here and in the messages below.
    core::job_answer answer;
};

/// End of a request without an answer body: OK for an accepted announcement, or the error of any
/// request other than a job.
struct request_done {
    std::uint64_t request = 0;
    absl::Status status;
};

/// Answer to id_requested.
struct id_issued {
    std::uint64_t request = 0;
    core::submission_id id;
};

/// Answer to edit_submitted.
struct edit_answered {
    std::uint64_t request = 0;
    control::edit_answer answer;
};

/// Answer to view_requested.
struct view_ready {
    std::uint64_t request = 0;
    core::admin_view view;
};

/// The documents in force changed. The shared copy is never modified.
struct documents_changed {
    std::shared_ptr<const control::applied_documents> documents;
};

/// Stop accepting connections, answer the open requests, then report that the front end is idle.
struct close_requested {};

/// Everything that a front end receives.
using front_message = std::variant<job_answered, request_done, id_issued, edit_answered, view_ready,
                                   documents_changed, close_requested>;

} // namespace hawthornstall::entry
