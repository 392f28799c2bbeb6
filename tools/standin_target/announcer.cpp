#include "announcer.hpp"

#include "hawthornstall/http/target_body.hpp"

#include <array>
#include <utility>

namespace hawthornstall::tools {
namespace detail {

/// Renewal interval of the lease in section 8 of the design page.
constexpr core::duration_ms announce_interval{1000};

/// Allows attempts at three hosts within the lease of 3,000 ms.
constexpr core::duration_ms announce_timeout{900};

constexpr int status_ok = 200;

} // namespace detail

announcer::announcer(runtime::event_loop& loop, net::http_client& client,
                     core::target_announcement description, std::vector<std::string> hosts)
    : loop_(loop), client_(client), description_(std::move(description)), hosts_(std::move(hosts)) {
}

void announcer::start() {
    announce();
    timer_ = loop_.every(detail::announce_interval, [this] { announce(); });
}

void announcer::announce() {
    // Skips this announcement while the previous one is still failing over between hosts.
    if (sending_) {
        return;
    }
    sending_ = true;
    send("/v1/targets/announce", hosts_.size(), [this](bool) { sending_ = false; });
}

void announcer::leave(const std::function<void(bool accepted)>& done) {
    timer_ = {};
    description_.leaving = true;
    send("/v1/targets/leave", hosts_.size(), done);
}

void announcer::send(std::string_view path, std::size_t hosts_left,
                     const std::function<void(bool accepted)>& done) {
    if (hosts_left == 0) {
        done(false);
        return;
    }
    ++description_.sequence;
    const auto body = http::encode_target_announcement(description_);
    if (!body.ok()) {
        done(false);
        return;
    }
    const std::array headers{net::http_header{"Content-Type", "application/json"}};
    const auto& host = hosts_.at(current_host_);
    const net::exchange_request request{.address = host,
                                        .path = path,
                                        .headers = headers,
                                        .body = *body,
                                        .timeout = detail::announce_timeout,
                                        .idempotent = true};
    const auto try_next = [this, path, hosts_left, done] {
        current_host_ = (current_host_ + 1) % hosts_.size();
        send(path, hosts_left - 1, done);
    };
    const auto sent = client_.send(request, [done, try_next](const net::exchange_result& result) {
        if (result.outcome == net::exchange_outcome::answered &&
            result.status == detail::status_ok) {
            done(true);
        } else {
            try_next();
        }
    });
    if (!sent.ok()) {
        try_next();
    }
}

} // namespace hawthornstall::tools
