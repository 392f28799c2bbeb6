#include "load/id_issuer.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace hawthornstall::tools {
namespace detail {

/// Well below the retention time of identifiers (10 min by default), and short enough to pick up a
/// new journal generation soon.
constexpr core::duration_ms issue_interval{5000};

std::optional<core::submission_id> decode_id(const net::exchange_result& result) {
    constexpr int ok = 200;
    if (result.outcome != net::exchange_outcome::answered || result.status != ok) {
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(result.body.begin(), result.body.end(), nullptr, false);
    if (!body.is_object() || !body.contains("submission_id") ||
        !body["submission_id"].is_string()) {
        return std::nullopt;
    }
    auto id = core::parse_submission_id(body["submission_id"].get<std::string>());
    return id.ok() ? std::optional{*std::move(id)} : std::nullopt;
}

} // namespace detail

id_issuer::id_issuer(runtime::event_loop& loop, net::http_client& client,
                     std::vector<std::string> hosts, std::string service, std::string token)
    : loop_(loop), client_(client), hosts_(std::move(hosts)),
      body_(nlohmann::json{{"service", std::move(service)}}.dump()),
      authorization_("Bearer " + std::move(token)), issued_(hosts_.size()) {}

void id_issuer::start(std::function<void()> issued) {
    issued_callback_ = std::move(issued);
    request_all();
    timer_ = loop_.every(detail::issue_interval, [this] { request_all(); });
}

std::optional<core::submission_id> id_issuer::make(std::size_t index, std::string key) const {
    auto id = issued_.at(index);
    if (id) {
        id->key = std::move(key);
    }
    return id;
}

std::size_t id_issuer::hosts_with_id() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(issued_, [](const auto& id) { return id.has_value(); }));
}

void id_issuer::request_all() {
    for (std::size_t index = 0; index < hosts_.size(); ++index) {
        request(index);
    }
}

void id_issuer::request(std::size_t index) {
    const std::array headers{net::http_header{"Authorization", authorization_}};
    // Sending fails only for a malformed address, which the command line refuses.
    [[maybe_unused]] const auto sent =
        client_.send({.address = hosts_.at(index),
                      .path = "/v1/submission-ids",
                      .headers = headers,
                      .body = body_,
                      .timeout = core::duration_ms{2000},
                      .idempotent = true},
                     [this, index](const net::exchange_result& result) {
                         // After a failed request, the previous identifier stays in use.
                         if (auto id = detail::decode_id(result)) {
                             issued_.at(index) = std::move(id);
                             issued_callback_();
                         }
                     });
}

} // namespace hawthornstall::tools
