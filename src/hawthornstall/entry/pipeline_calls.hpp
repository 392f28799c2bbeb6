#pragma once

/// Values that travel through the front end's pipeline.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/settings/credentials.hpp"

#include <cstdint>
#include <string_view>

namespace hawthornstall::entry {

/// Which endpoint the caller used.
enum class call_kind : std::uint8_t {
    job,     ///< A submission of one or more tasks.
    request, ///< A single task.
};

/// A call as it arrived; views are valid during the call of the pipeline.
struct arrived_call {
    call_kind kind = call_kind::job;
    std::string_view authorization;
    std::string_view service;
    std::string_view body;
};

/// A call whose caller is known.
struct authenticated_call {
    arrived_call call;
    settings::principal caller;
};

/// A decoded call.
struct decoded_call {
    call_kind kind = call_kind::job;
    settings::principal caller;
    core::job_request job;
};

/// A call and the document that governs it. The pointer is valid during the call of the pipeline.
struct resolved_call {
    decoded_call call;
    const core::service_document* document = nullptr;
};

} // namespace hawthornstall::entry
