#pragma once

/// Encoding and decoding of the JSON bodies of job requests and answers.
///
/// Payloads and results are UTF-8 strings, which the dispatcher forwards unchanged. A caller that
/// sends binary data must agree on an encoding, for example base64, with its targets.

#include "hawthornstall/core/job.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace hawthornstall::http {

/// Properties of a job that are not part of its body.
struct job_context {
    std::string_view service; ///< From the path.
    std::string_view caller;  ///< From the bearer token.
};

/// Reads `{"submission_id":"…","idempotent":true,"deadline_ms":n,"tasks":[{"payload":"…",
/// "run_time_ms":n}]}`. Only "tasks", with at least one task, and each "payload" are required.
/// An error names the path of the faulty field, for example "tasks[3].payload". Unknown fields are
/// errors.
[[nodiscard]] absl::StatusOr<core::job_request> decode_job_request(std::string_view body,
                                                                   job_context context);

/// Inverse of decode_job_request; omits service and caller. Fails if a payload is not UTF-8.
[[nodiscard]] absl::StatusOr<std::string> encode_job_request(const core::job_request& request);

/// Status and body of an HTTP answer.
struct encoded_answer {
    int status = 200;
    std::string body;
};

/// Writes `{"submission_id":"…","outcome":"…","reason":"…","retry_after_ms":n,"results":["…"]}`.
/// A result that is not UTF-8 cannot be represented in JSON; the job is then answered as failed.
[[nodiscard]] encoded_answer encode_job_answer(const core::job_answer& answer);

/// Inverse of encode_job_answer, for callers. Unknown fields are ignored. A missing outcome, or
/// results with an outcome other than answered, is an error.
[[nodiscard]] absl::StatusOr<core::job_answer> decode_job_answer(std::string_view body);

} // namespace hawthornstall::http
