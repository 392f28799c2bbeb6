#include "hawthornstall/entry/authenticate.hpp"

#include "hawthornstall/core/error.hpp"

namespace hawthornstall::entry {
namespace detail {

constexpr std::string_view bearer_scheme = "Bearer ";
constexpr core::error_origin origin{.step = "authenticate", .peer = {}};

} // namespace detail

absl::StatusOr<settings::principal>
find_principal(std::span<const settings::credential> credentials, std::string_view authorization) {
    if (!authorization.starts_with(detail::bearer_scheme)) {
        return core::make_error(absl::StatusCode::kUnauthenticated, detail::origin,
                                "send the header \"Authorization: Bearer <token>\"");
    }
    const auto token = authorization.substr(detail::bearer_scheme.size());
    const auto* const principal = settings::find_by_token(credentials, token);
    if (principal == nullptr) {
        return core::make_error(absl::StatusCode::kUnauthenticated, detail::origin,
                                "the token is not known to this entry host");
    }
    return *principal;
}

absl::StatusOr<authenticated_call> authenticate::operator()(const arrived_call& call) const {
    auto principal = find_principal(credentials_, call.authorization);
    if (!principal.ok()) {
        return principal.status();
    }
    if (principal->kind == settings::role::site_operator) {
        return core::make_error(absl::StatusCode::kPermissionDenied, detail::origin,
                                "an operator's token may not submit jobs");
    }
    return authenticated_call{.call = call, .caller = *std::move(principal)};
}

} // namespace hawthornstall::entry
