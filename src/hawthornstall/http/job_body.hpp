#pragma once

/// JSON bodies of jobs and their answers.
///
/// Payloads and results are UTF-8 texts. A caller that carries binary data encodes it, for example
/// as base64, and agrees on this with its targets; the dispatcher passes the text on unchanged.

#include "hawthornstall/core/job.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace hawthornstall::http {

/// What a job takes from outside its body.
struct job_context {
    std::string_view service; ///< From the path.
    std::string_view caller;  ///< From the bearer token.
};

/// Reads `{"submission_id":"…","idempotent":true,"deadline_ms":n,"tasks":[{"payload":"…",
/// "run_time_ms":n}]}`. Only "tasks", with at least one task, and each "payload" are required.
/// An error names the path of the fault, for example "tasks[3].payload". Unknown fields are faults.
[[nodiscard]] absl::StatusOr<core::job_request> decode_job_request(std::string_view body,
                                                                   job_context context);

/// Inverse of decode_job_request, without service and caller. An error means a payload that is
/// not UTF-8.
[[nodiscard]] absl::StatusOr<std::string> encode_job_request(const core::job_request& request);

/// An HTTP answer to a job.
struct encoded_answer {
    int status = 200;
    std::string body;
};

/// Writes `{"submission_id":"…","outcome":"…","reason":"…","retry_after_ms":n,"results":["…"]}`.
/// A result that is not UTF-8 cannot be carried whole; the job is then answered as failed.
[[nodiscard]] encoded_answer encode_job_answer(const core::job_answer& answer);

/// Inverse of encode_job_answer, for callers. Unknown fields are ignored. An answer without an
/// outcome, or with results although it is not answered, is an error.
[[nodiscard]] absl::StatusOr<core::job_answer> decode_job_answer(std::string_view body);

} // namespace hawthornstall::http
