#include "hawthornstall/monitoring/monitoring_server.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <sstream>
#include <string>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

namespace hawthornstall::monitoring {
namespace {

/// A request and the expected response.
struct request_case {
    std::string_view path;
    net::exchange_method method;
    int status;
    std::string_view part; ///< Text that the body must contain.
};

constexpr std::array request_cases{
    request_case{"/metrics", net::exchange_method::get, 200,
                 R"(hawthornstall_events_total{event="job_answered",role="entry"} 1)"},
    request_case{"/metrics", net::exchange_method::post, 405, "use GET"},
    request_case{"/v1/hosts", net::exchange_method::get, 200, R"("name":"a")"},
    request_case{"/v1/jobs", net::exchange_method::get, 503, "cannot be queried"},
    request_case{"/v1/hosts", net::exchange_method::post, 405, "use GET"},
    request_case{"/other", net::exchange_method::get, 404, "metrics are at /metrics"},
};

constexpr core::duration_ms test_limit{5'000};

// Guards against metrics or state that are not served at their documented paths, and against
// requests that are never answered.
TEST_CASE("the metrics and the state of a process are served over HTTP") {
    for (const auto& item : request_cases) {
        CAPTURE(item.path);
        telemetry::event_metrics metrics{"entry"};
        metrics.observe("job_answered", core::duration_ms{120});
        telemetry::log_output output{std::make_shared<std::ostringstream>(),
                                     core::log_level::error};
        runtime::event_loop loop;
        const auto inbox = runtime::make_mailbox<monitoring_server::message>(4);
        monitoring_server server{"127.0.0.1:0", inbox, &metrics, &output};
        server.attach(loop);
        // The owner of the state answers one kind of query and reports overload for the others.
        server.handle(status_source{[&](const status::status_query& query) {
            const bool is_accepted = query.kind == status::status_kind::hosts;
            if (is_accepted) {
                server.handle(status::status_answer{query.number,
                                                    std::vector<status::host_row>{{.name = "a"}}});
            }
            return is_accepted;
        }});
        net::http_client client{loop, net::limits_without_pings()};
        int answered_status = 0;
        std::string body;
        const auto status = client.send({.address = std::string{server.address()},
                                         .method = item.method,
                                         .path = std::string{item.path},
                                         .timeout = test_limit},
                                        [&](const net::exchange_result& answer) {
                                            answered_status = answer.status;
                                            body = answer.body;
                                            loop.stop();
                                        });
        REQUIRE(status.ok());
        loop.run();
        CHECK(answered_status == item.status);
        CHECK(body.find(item.part) != std::string::npos);
    }
}

/// A socket of another process that listens on a free loopback address.
class foreign_listener {
public:
    foreign_listener() : descriptor_(testing::detail::bind_any_port(address_)) {
        REQUIRE(listen(descriptor_, 1) == 0);
    }
    ~foreign_listener() { close(descriptor_); }
    foreign_listener(const foreign_listener&) = delete;
    foreign_listener& operator=(const foreign_listener&) = delete;
    foreign_listener(foreign_listener&&) = delete;
    foreign_listener& operator=(foreign_listener&&) = delete;

    [[nodiscard]] const std::string& address() const noexcept { return address_; }

private:
    std::string address_;
    int descriptor_;
};

struct listen_case {
    std::string_view name;
    std::string address;
    bool is_served;
};

// Guards against a process that terminates because it cannot listen on the address of its metrics,
// for example because another process uses it.
TEST_CASE("a failure to listen is logged and the process continues") {
    const foreign_listener other;
    const std::array cases{
        listen_case{"free", "127.0.0.1:0", true},
        listen_case{"not an address of this host", "192.0.2.1:9464", false},
        listen_case{"in use", other.address(), false},
        listen_case{"malformed", "127.0.0.1", false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        telemetry::event_metrics metrics{"entry"};
        const auto stream = std::make_shared<std::ostringstream>();
        {
            telemetry::log_output output{stream, core::log_level::error};
            runtime::event_loop loop;
            monitoring_server server{item.address, nullptr, &metrics, &output};
            server.attach(loop);
            CHECK(server.address().empty() != item.is_served);
        }
        const bool is_logged = stream->str().find("metrics_not_served") != std::string::npos;
        CHECK(is_logged != item.is_served);
    }
}

} // namespace
} // namespace hawthornstall::monitoring
