#include "hawthornstall/entry/resolve_service.hpp"

#include "hawthornstall/core/error.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

constexpr core::error_origin origin{.step = "resolve_service", .peer = {}};

} // namespace detail

absl::StatusOr<resolved_call> resolve_service::operator()(decoded_call call) const {
    const auto* const document =
        *documents_ == nullptr ? nullptr : (*documents_)->find(call.job.service);
    if (document == nullptr) {
        return core::make_error(absl::StatusCode::kNotFound, detail::origin,
                                "this entry host has no document of service \"" + call.job.service +
                                    '"');
    }
    const auto& callers = document->accepts.callers;
    if (!callers.empty() && std::ranges::find(callers, call.caller.name) == callers.end()) {
        return core::make_error(absl::StatusCode::kPermissionDenied, detail::origin,
                                "the service's document does not admit caller \"" +
                                    call.caller.name + '"');
    }
    return resolved_call{.call = std::move(call), .document = document};
}

} // namespace hawthornstall::entry
