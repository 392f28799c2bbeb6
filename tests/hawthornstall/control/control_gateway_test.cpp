#include "hawthornstall/control/control_gateway.hpp"
#include "hawthornstall/core/request_numbers.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/net/scripted_server.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::control {
namespace {

constexpr core::duration_ms test_timeout{10'000};
constexpr int success_status = 200;
constexpr int unknown_status = 503;

/// Reads the configuration on GET and adopts one on every other method.
struct method_codec {
    [[nodiscard]] gateway_request decode(const net::http_request& request) const {
        if (request.method == "GET") {
            return config_read_request{};
        }
        return config_put_request{};
    }
    [[nodiscard]] gateway_answer answer_to(const local_put_result& put) const {
        return {.status = put.answer ? success_status : unknown_status, .body = "{}"};
    }
    [[nodiscard]] gateway_answer answer_to(const local_read_result& read) const {
        return {.status = read.config ? success_status : unknown_status, .body = "{}"};
    }
    [[nodiscard]] gateway_answer accepted() const { return {.status = success_status, .body = ""}; }
    [[nodiscard]] gateway_answer unknown_zone(std::string_view /*zone*/) const { return {}; }
};

/// A gateway with one client. The test takes the place of control_logic.
class gateway_host {
public:
    explicit gateway_host(std::uint64_t incarnation)
        : gateway_(address_, {}, core::last_earlier_number(incarnation), logic_,
                   [](const gateway_event& /*event*/) {}) {
        gateway_.attach(loop_);
    }

    /// Sends a request and returns its number, as control_logic receives it.
    std::uint64_t request(net::exchange_method method) {
        const auto arrived = loop_.on_readable(logic_->descriptor(), [this] { loop_.stop(); });
        REQUIRE(client_
                    .send({.address = address_, .method = method, .path = "/config"},
                          [this](const net::exchange_result& result) {
                              status_ = result.status;
                              loop_.stop();
                          })
                    .ok());
        REQUIRE(net::run_for(loop_, test_timeout));
        const auto messages = logic_->take_all();
        REQUIRE(messages.size() == 1);
        if (const auto* const put = std::get_if<local_config_put>(&messages.front())) {
            return put->number;
        }
        return std::get<local_config_read>(messages.front()).number;
    }

    void handle(gateway_message message) { gateway_.handle(std::move(message)); }

    /// HTTP status of the answer to the request.
    int await_status() {
        REQUIRE(net::run_for(loop_, test_timeout));
        return status_;
    }

private:
    std::string address_ = testing::free_addresses<1>().front();
    runtime::event_loop loop_;
    runtime::address<control_logic::message> logic_ =
        runtime::make_mailbox<control_logic::message>(1);
    control_gateway<method_codec> gateway_;
    net::http_client client_{loop_, net::limits_without_pings()};
    int status_ = 0;
};

struct method_case {
    std::string_view name;
    net::exchange_method method;
    gateway_message (*fail)(std::uint64_t number);
    gateway_message (*succeed)(std::uint64_t number);
};

const std::array method_cases{
    method_case{"put", net::exchange_method::put,
                [](std::uint64_t number) -> gateway_message { return local_put_result{number}; },
                [](std::uint64_t number) -> gateway_message {
                    return local_put_result{number, edit_answer{}};
                }},
    method_case{"read", net::exchange_method::get,
                [](std::uint64_t number) -> gateway_message { return local_read_result{number}; },
                [](std::uint64_t number) -> gateway_message {
                    return local_read_result{number, numbered_config{}};
                }},
};

// Guards against an operator who is told the result of another request: the control host that leads
// can still hold a request that an earlier process has forwarded, and answer the present one.
TEST_CASE("a reply to a request of an earlier gateway is ignored") {
    for (const auto& earlier : method_cases) {
        for (const auto& present : method_cases) {
            CAPTURE(earlier.name);
            CAPTURE(present.name);
            const auto late_number = gateway_host{1'000}.request(earlier.method);
            gateway_host host{1'001};
            const auto number = host.request(present.method);
            host.handle(earlier.fail(late_number));
            host.handle(present.succeed(number));
            CHECK(host.await_status() == success_status);
        }
    }
}

} // namespace
} // namespace hawthornstall::control
