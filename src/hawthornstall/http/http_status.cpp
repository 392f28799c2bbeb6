#include "hawthornstall/http/http_status.hpp"

namespace hawthornstall::http {

int status_of(core::outcome_class outcome) noexcept {
    switch (outcome) {
    case core::outcome_class::answered:
        return 200;
    case core::outcome_class::refused_not_run:
        return 503;
    case core::outcome_class::failed:
        return 502;
    case core::outcome_class::may_have_run:
        return 504;
    }
    return 500;
}

int status_of(const absl::Status& error) noexcept {
    switch (error.code()) {
    case absl::StatusCode::kOk:
        return 200;
    case absl::StatusCode::kInvalidArgument:
        return 400;
    case absl::StatusCode::kUnauthenticated:
        return 401;
    case absl::StatusCode::kPermissionDenied:
        return 403;
    case absl::StatusCode::kNotFound:
        return 404;
    case absl::StatusCode::kAborted:
    case absl::StatusCode::kAlreadyExists:
    case absl::StatusCode::kFailedPrecondition:
        return 409;
    case absl::StatusCode::kOutOfRange:
        return 413;
    case absl::StatusCode::kResourceExhausted:
        return 429;
    case absl::StatusCode::kUnknown:
        return 504;
    default:
        return 503;
    }
}

} // namespace hawthornstall::http
