#pragma once

/// Encoding and decoding of the JSON bodies of errors.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/outcome.hpp"
#include "hawthornstall/http/job_body.hpp"

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace hawthornstall::http {

/// Writes `{"outcome":"refused_not_run","code":"NOT_FOUND","reason":"…","step":"…","peer":"…",
/// "retry_after_ms":n}`. The outcome is may_have_run for an error of code UNKNOWN and otherwise
/// refused_not_run.
[[nodiscard]] encoded_answer encode_error(const absl::Status& error,
                                          core::duration_ms retry_after = {});

/// A decoded error body.
struct received_error {
    core::outcome_class outcome = core::outcome_class::refused_not_run;
    std::string code;
    std::string reason;
    std::string step;
    std::string peer;

    bool operator==(const received_error&) const = default;
};

/// Inverse of encode_error; absent fields stay empty.
[[nodiscard]] absl::StatusOr<received_error> decode_error(std::string_view body);

} // namespace hawthornstall::http
