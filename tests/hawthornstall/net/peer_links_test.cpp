#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornstall::net {
namespace {

/// The links of one simulated process, run on the event loop of the test.
struct node {
    node(runtime::event_loop& loop, std::string name, std::string address)
        : links(
              loop,
              {.name = std::move(name), .incarnation = 1, .listen_address = std::move(address)},
              [this](std::string_view sender, std::uint64_t /*incarnation*/,
                     std::string_view body) {
                  received.push_back(std::string{sender} + ':' + std::string{body});
                  if (on_received) {
                      on_received();
                  }
              },
              [this](std::string_view /*peer*/, bool reachable) {
                  states.push_back(reachable);
                  if (on_state) {
                      on_state();
                  }
              }) {}

    std::vector<std::string> received;
    std::vector<bool> states;
    std::function<void()> on_received;
    std::function<void()> on_state;
    peer_links links;
};

constexpr core::duration_ms test_timeout{10'000};

// Guards against messages that reach the wrong peer, arrive twice, or are reordered on one link.
TEST_CASE("messages reach the addressed peer once and in order") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    node first{loop, "first", addresses[0]};
    node second{loop, "second", addresses[1]};
    constexpr int message_count = 100;
    std::vector<std::string> expected;
    expected.reserve(message_count);
    first.on_state = [&] {
        for (int number = 0; number < message_count; ++number) {
            REQUIRE(first.links.send("second", std::to_string(number)).ok());
        }
    };
    second.on_received = [&] {
        if (second.received.size() == message_count) {
            loop.stop();
        }
    };
    for (int number = 0; number < message_count; ++number) {
        expected.push_back("first:" + std::to_string(number));
    }
    REQUIRE(first.links.start(std::array{peer_endpoint{"second", addresses[1]}}).ok());
    REQUIRE(second.links.start(std::array{peer_endpoint{"first", addresses[0]}}).ok());
    const auto limit = loop.after(test_timeout, [&] { loop.stop(); });
    loop.run();
    CHECK(second.received == expected);
    CHECK(first.received.empty());
}

// Guards against sends that report success although no peer can receive the message.
TEST_CASE("a send to an unknown or unreachable peer fails with an error that names the peer") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    node first{loop, "first", addresses[0]};
    REQUIRE(first.links.start(std::array{peer_endpoint{"second", addresses[1]}}).ok());
    struct send_case {
        std::string_view peer;
        absl::StatusCode code;
    };
    constexpr std::array cases{send_case{"second", absl::StatusCode::kUnavailable},
                               send_case{"third", absl::StatusCode::kNotFound}};
    for (const auto& test : cases) {
        const auto status = first.links.send(test.peer, "body");
        CHECK(status.code() == test.code);
        CHECK(core::peer_of(status) == test.peer);
    }
}

// Guards against a peer that still counts as reachable after it has stopped sending, and against a
// link that is not restored when the peer restarts.
TEST_CASE("a silent peer becomes unreachable and a restarted one reachable again") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    node first{loop, "first", addresses[0]};
    auto second = std::make_unique<node>(loop, "second", addresses[1]);
    const std::array to_first{peer_endpoint{"first", addresses[0]}};
    runtime::event_handle restart;
    first.on_state = [&] {
        if (first.states.size() == 1) {
            restart = loop.after(core::duration_ms{0}, [&] { second.reset(); });
        } else if (first.states.size() == 2) {
            second = std::make_unique<node>(loop, "second", addresses[1]);
            REQUIRE(second->links.start(to_first).ok());
        } else {
            loop.stop();
        }
    };
    REQUIRE(first.links.start(std::array{peer_endpoint{"second", addresses[1]}}).ok());
    REQUIRE(second->links.start(to_first).ok());
    const auto limit = loop.after(test_timeout, [&] { loop.stop(); });
    loop.run();
    CHECK(first.states == std::vector<bool>{true, false, true});
}

// Guards against a connection that fails in one direction only: the sender still receives messages
// on the peer's own connection and would keep using the failed one forever.
TEST_CASE("a link whose messages do not reach the peer is replaced") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<3>();
    detail::nng_socket_handle unread_listener;
    REQUIRE(unread_listener.listen_pull(addresses[2]).ok());
    node first{loop, "first", addresses[0]};
    node second{loop, "second", addresses[1]};
    REQUIRE(first.links.start(std::array{peer_endpoint{"second", addresses[2]}}).ok());
    REQUIRE(second.links.start(std::array{peer_endpoint{"first", addresses[0]}}).ok());
    const auto end = loop.after(core::duration_ms{4'000}, [&] { loop.stop(); });
    loop.run();
    CHECK(first.links.is_reachable("second"));
    CHECK(first.links.counters().links_replaced >= 1);
}

// Guards against a link that waits for TCP to retransmit a connection attempt that was lost while
// the peer's machine was starting.
TEST_CASE("a peer that has never responded is dialled again after each ping interval") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    peer_links links{loop,
                     {.name = "first",
                      .incarnation = 1,
                      .listen_address = addresses[0],
                      .ping_every = core::duration_ms{100},
                      .silent_after = test_timeout},
                     [](std::string_view, std::uint64_t, std::string_view) {},
                     [](std::string_view, bool) {
                     }};
    const std::array peers{peer_endpoint{.name = "second", .address = addresses[1]}};
    REQUIRE(links.start(peers).ok());
    // Twenty intervals; closing a socket takes tens of ms on a busy machine.
    const auto end = loop.after(core::duration_ms{2'000}, [&] { loop.stop(); });
    loop.run();
    CHECK(links.counters().links_replaced >= 3);
}

// Guards against treating a restarted peer, which has lost its state, as the process before the
// restart.
TEST_CASE("a peer that restarts within the silence limit is reported unreachable, then reachable") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    node first{loop, "first", addresses[0]};
    const auto link_to = [](std::string name, std::string address) {
        return std::array{peer_endpoint{.name = std::move(name), .address = std::move(address)}};
    };
    const auto make_second = [&](std::uint64_t incarnation) {
        auto second = std::make_unique<peer_links>(
            loop,
            peer_links::identity{
                .name = "second", .incarnation = incarnation, .listen_address = addresses[1]},
            [](std::string_view, std::uint64_t, std::string_view) {},
            [](std::string_view, bool) {});
        REQUIRE(second->start(link_to("first", addresses[0])).ok());
        return second;
    };
    auto second = make_second(1);
    REQUIRE(first.links.start(link_to("second", addresses[1])).ok());
    runtime::event_handle restart;
    first.on_state = [&] {
        if (first.states.size() == 1) {
            restart = loop.after(core::duration_ms{0}, [&] {
                second.reset();
                second = make_second(2);
            });
        } else if (first.states.size() == 3) {
            loop.stop();
        }
    };
    const auto limit = loop.after(test_timeout, [&] { loop.stop(); });
    loop.run();
    CHECK(first.states == std::vector<bool>{true, false, true});
}

// Guards against pings of many peers that wake a process at as many different times. The links
// start in the second half of a second; their pings are due in the first half of each second.
TEST_CASE("pings are sent at multiples of their interval on the wall clock") {
    constexpr core::duration_ms interval{1'000};
    const auto phase = [interval] {
        return core::ms_clock::wall_now().time_since_epoch() % interval;
    };
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    peer_links sender{loop,
                      {.name = "sender",
                       .incarnation = 1,
                       .listen_address = addresses[0],
                       .ping_every = interval,
                       .silent_after = 3 * interval,
                       .answer_pings = false},
                      [](std::string_view, std::uint64_t, std::string_view) {},
                      [](std::string_view, bool) {
                      }};
    core::duration_ms pinged_at{};
    node receiver{loop, "receiver", addresses[1]};
    receiver.on_state = [&] {
        pinged_at = phase();
        loop.stop();
    };
    runtime::event_handle start;
    const auto wait = interval + core::duration_ms{700} - phase();
    start = loop.after(wait % interval, [&] {
        REQUIRE(receiver.links.start(std::array{peer_endpoint{"sender", addresses[0]}}).ok());
        REQUIRE(sender.start(std::array{peer_endpoint{"receiver", addresses[1]}}).ok());
    });
    const auto limit = loop.after(test_timeout, [&] { loop.stop(); });
    loop.run();
    CHECK(receiver.states == std::vector<bool>{true});
    CHECK(pinged_at < interval / 2);
}

} // namespace
} // namespace hawthornstall::net
