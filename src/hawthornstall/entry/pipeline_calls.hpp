#pragma once

/// Values that pass from filter to filter in the front end's pipeline for calls.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/settings/credentials.hpp"

#include <cstdint>
#include <string_view>

namespace hawthornstall::entry {

/// Which endpoint the caller used.
enum class call_kind : std::uint8_t {
    job,         ///< A submission of one or more tasks.
    single_task, ///< A request of exactly one task.
};

/// A call as received. The views are valid while the pipeline runs.
struct arrived_call {
    call_kind kind = call_kind::job;
    std::string_view authorization;
    std::string_view service;
    std::string_view body;
};

/// A call whose caller is authenticated.
struct authenticated_call {
    arrived_call call;
    settings::principal caller;
};

/// A call whose body is decoded.
struct decoded_call {
    call_kind kind = call_kind::job;
    settings::principal caller;
    core::job_request job;
};

/// A call and the document of the service that it calls. The pointer is valid while the pipeline
/// runs.
struct resolved_call {
    decoded_call call;
    const core::service_document* document = nullptr;
};

} // namespace hawthornstall::entry
