#include "hawthornstall/core/error.hpp"

#include <absl/strings/cord.h>

namespace hawthornstall::core {
namespace detail {

// Type URLs of the status payloads.
constexpr std::string_view step_url = "hawthornstall/step";
constexpr std::string_view peer_url = "hawthornstall/peer";

std::string payload_of(const absl::Status& status, std::string_view url) {
    const auto payload = status.GetPayload(to_absl(url));
    return payload ? std::string{*payload} : std::string{};
}

} // namespace detail

absl::Status make_error(absl::StatusCode code, error_origin origin, std::string_view message) {
    absl::Status status{code, to_absl(message)};
    status.SetPayload(to_absl(detail::step_url), absl::Cord{to_absl(origin.step)});
    if (!origin.peer.empty()) {
        status.SetPayload(to_absl(detail::peer_url), absl::Cord{to_absl(origin.peer)});
    }
    return status;
}

std::string step_of(const absl::Status& status) {
    return detail::payload_of(status, detail::step_url);
}

std::string peer_of(const absl::Status& status) {
    return detail::payload_of(status, detail::peer_url);
}

std::string describe(const absl::Status& status) {
    std::string text = absl::StatusCodeToString(status.code());
    text.append(": ").append(status.message().data(), status.message().size());
    if (const auto step = step_of(status); !step.empty()) {
        text.append(" (step ").append(step);
        if (const auto peer = peer_of(status); !peer.empty()) {
            text.append(", peer ").append(peer);
        }
        text.append(")");
    }
    return text;
}

} // namespace hawthornstall::core
