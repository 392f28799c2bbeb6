#include "hawthornstall/core/error.hpp"
#include "hawthornstall/http/error_body.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace hawthornstall::http {
namespace {

struct error_case {
    absl::StatusCode code;
    int status;
    core::outcome_class outcome;
    std::string name;
};

// Guards against errors that reach a caller without step, peer or outcome class.
TEST_CASE("error bodies carry outcome class, step and peer") {
    using enum core::outcome_class;
    const std::array cases{
        error_case{absl::StatusCode::kInvalidArgument, 400, refused_not_run, "INVALID_ARGUMENT"},
        error_case{absl::StatusCode::kUnauthenticated, 401, refused_not_run, "UNAUTHENTICATED"},
        error_case{absl::StatusCode::kPermissionDenied, 403, refused_not_run, "PERMISSION_DENIED"},
        error_case{absl::StatusCode::kNotFound, 404, refused_not_run, "NOT_FOUND"},
        error_case{absl::StatusCode::kAborted, 409, refused_not_run, "ABORTED"},
        error_case{absl::StatusCode::kResourceExhausted, 429, refused_not_run,
                   "RESOURCE_EXHAUSTED"},
        error_case{absl::StatusCode::kUnavailable, 503, refused_not_run, "UNAVAILABLE"},
        error_case{absl::StatusCode::kUnknown, 504, may_have_run, "UNKNOWN"},
    };
    for (const auto& test : cases) {
        const auto error = core::make_error(test.code, {.step = "place", .peer = "entry-2"}, "why");
        const auto encoded = encode_error(error, core::duration_ms{20});
        CHECK(encoded.status == test.status);
        CHECK(encoded.body.find("\"retry_after_ms\":20") != std::string::npos);
        const auto decoded = decode_error(encoded.body);
        REQUIRE(decoded.ok());
        CHECK(*decoded == received_error{test.outcome, test.name, "why", "place", "entry-2"});
    }
}

// Guards against an exception while encoding an error that quotes input that is not UTF-8.
TEST_CASE("a reason that quotes invalid UTF-8 is still encoded") {
    const auto encoded = encode_error(absl::InvalidArgumentError("token \xff"));
    CHECK(decode_error(encoded.body).ok());
}

} // namespace
} // namespace hawthornstall::http
