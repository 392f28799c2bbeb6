#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "platform/soak/fault_proxy.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string_view>

namespace hawthornstall::platform::soak {
namespace {

constexpr core::duration_ms delay{200};
constexpr core::duration_ms call_timeout{600};

struct proxy_case {
    std::string_view name;
    std::function<void(fault_proxy&)> apply; ///< Called once a connection is open.
    net::exchange_outcome outcome;
    bool is_late;
};

// Guards against a proxy that forwards requests as usual although a fault is set, so that a soak
// run would pass without having injected the fault.
TEST_CASE("a proxy forwards requests and injects its faults") {
    const std::array cases{
        proxy_case{"no fault", [](fault_proxy&) {}, net::exchange_outcome::answered, false},
        proxy_case{"delay", [](fault_proxy& proxy) { proxy.set_delay(delay); },
                   net::exchange_outcome::answered, true},
        proxy_case{"hold in", [](fault_proxy& proxy) { proxy.hold_in(true); },
                   net::exchange_outcome::broken, true},
        proxy_case{"hold out", [](fault_proxy& proxy) { proxy.hold_out(true); },
                   net::exchange_outcome::broken, true},
        proxy_case{"freeze", [](fault_proxy& proxy) { proxy.freeze_open(); },
                   net::exchange_outcome::broken, true},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        runtime::event_loop loop;
        const auto addresses = testing::free_addresses<2>();
        net::http_server* answering = nullptr;
        net::http_server server{loop, addresses[1], {}, [&](const net::http_request& request) {
                                    (void)answering->answer(request.number, {.body = "{}"});
                                }};
        answering = &server;
        REQUIRE(server.start().ok());
        fault_proxy proxy{loop, addresses[0], addresses[1]};
        net::http_client client{loop, net::limits_without_pings()};
        const auto exchange = [&] {
            net::exchange_outcome outcome{};
            const auto status = client.send(
                {.address = addresses[0], .path = "/", .timeout = call_timeout, .idempotent = true},
                [&](const net::exchange_result& result) {
                    outcome = result.outcome;
                    loop.stop();
                });
            REQUIRE(status.ok());
            loop.run();
            return outcome;
        };
        REQUIRE(exchange() == net::exchange_outcome::answered);
        item.apply(proxy);
        const auto begin = core::ms_clock::now();
        CHECK(exchange() == item.outcome);
        CHECK((core::ms_clock::now() - begin >= delay) == item.is_late);
    }
}

} // namespace
} // namespace hawthornstall::platform::soak
