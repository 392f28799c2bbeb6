#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/frame.hpp"
#include "hawthornstall/net/peer_dialer.hpp"
#include "hawthornstall/net/peer_listener.hpp"
#include "hawthornstall/net/test_node.hpp"
#include "hawthornstall/wire/codec.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::net {
namespace {

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
            CHECK(first.links.condition("second").silence > silence_limit);
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
    peer_listener unread_listener{loop, [](std::uint64_t, std::string_view) {
                                      return true;
                                  }};
    REQUIRE(unread_listener.start(addresses[2]).ok());
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
                     [](std::string_view, link_change) {
                     }};
    const std::array peers{peer_endpoint{.name = "second", .address = addresses[1]}};
    REQUIRE(links.start(peers).ok());
    // Twenty intervals.
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
            [](std::string_view, link_change) {});
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

/// A peer that the test plays message by message, and the last session that it was told.
class scripted_peer {
public:
    scripted_peer(runtime::event_loop& loop, const std::string& own_address,
                  std::string_view peer_address)
        : listener_(loop,
                    [this](std::uint64_t /*connection*/, std::string_view bytes) {
                        const auto envelope = wire::decode<peer_envelope>(bytes);
                        REQUIRE(envelope.ok());
                        told_session = envelope->session;
                        return true;
                    }),
          dialer_(loop, peer_address) {
        REQUIRE(listener_.start(own_address).ok());
        dialer_.replace_connection();
    }

    void send(envelope_kind kind, std::uint64_t session, std::uint64_t sequence,
              std::uint64_t heard_session = 0) {
        REQUIRE(dialer_
                    .send(wire::encode(peer_envelope{.sender = "peer",
                                                     .incarnation = 1,
                                                     .kind = kind,
                                                     .body = std::to_string(sequence),
                                                     .session = session,
                                                     .sequence = sequence,
                                                     .heard_incarnation = 1,
                                                     .heard_session = heard_session}))
                    .ok());
    }

    std::uint64_t told_session = 0;

private:
    peer_listener listener_;
    peer_dialer dialer_;
};

struct scripted_message {
    envelope_kind kind = envelope_kind::data;
    std::uint64_t session = 0;
    std::uint64_t sequence = 0;
    std::uint64_t heard_session = 0;
};

struct interruption_case {
    std::string_view name;
    std::vector<scripted_message> messages;
    std::vector<bool> states;
    std::vector<std::string> received;
    std::uint64_t told_session = 0; ///< What the peer has been told at the end.
};

// Guards against a link that only one side knows to be lost: that side gives up the work that both
// share, and the other one goes on with it.
TEST_CASE("both sides learn that a link was interrupted") {
    using kind = envelope_kind;
    const std::array cases{
        interruption_case{"nothing is lost",
                          {{kind::ping, 0, 0}, {kind::data, 0, 1}, {kind::ping, 0, 1}},
                          {true},
                          {"peer:1"},
                          0},
        interruption_case{"the peer lost the link",
                          {{kind::data, 0, 1}, {kind::unheard_ping, 1, 0}, {kind::data, 1, 1}},
                          {true, false, true},
                          {"peer:1", "peer:1"},
                          0},
        interruption_case{"a message was lost",
                          {{kind::data, 0, 1}, {kind::data, 0, 3}, {kind::data, 0, 4, 1}},
                          {true, false, true},
                          {"peer:1", "peer:4"},
                          1},
        interruption_case{"the last message was lost",
                          {{kind::data, 0, 1}, {kind::ping, 0, 2}},
                          {true, false, true},
                          {"peer:1"},
                          1},
        interruption_case{"a message of an earlier session arrives late",
                          {{kind::data, 1, 1}, {kind::data, 0, 9}, {kind::data, 1, 2}},
                          {true},
                          {"peer:1", "peer:2"},
                          0},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        runtime::event_loop loop;
        const auto addresses = testing::free_addresses<2>();
        node self{loop, "self", addresses[0]};
        REQUIRE(self.links.start(std::array{peer_endpoint{"peer", addresses[1]}}).ok());
        scripted_peer peer{loop, addresses[1], addresses[0]};
        for (const auto& message : item.messages) {
            peer.send(message.kind, message.session, message.sequence, message.heard_session);
        }
        // Two ping intervals, so that the peer is told.
        const auto end = loop.after(2 * ping_interval, [&] { loop.stop(); });
        loop.run();
        CHECK(self.states == item.states);
        CHECK(self.received == item.received);
        CHECK(peer.told_session == item.told_session);
    }
}

struct naming_case {
    std::string_view name;
    std::vector<std::string_view> senders; ///< Of the envelopes on one connection, in order.
    std::vector<std::string> received;
    std::uint64_t malformed = 0;
};

// Guards against messages that are taken for those of another process, because only the first
// envelope on a connection names its sender.
TEST_CASE("the first envelope on a connection names the sender of all") {
    const std::array cases{
        naming_case{"named once", {"peer", "", ""}, {"peer:1", "peer:2", "peer:3"}},
        naming_case{"named each time", {"peer", "peer"}, {"peer:1", "peer:2"}},
        naming_case{"not named", {"", ""}, {}, 1},
        naming_case{"a stranger", {"stranger", ""}, {}, 1},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        runtime::event_loop loop;
        const auto addresses = testing::free_addresses<2>();
        node self{loop, "self", addresses[0]};
        REQUIRE(self.links.start(std::array{peer_endpoint{"peer", addresses[1]}}).ok());
        peer_dialer dialer{loop, addresses[0]};
        dialer.replace_connection();
        std::uint64_t sequence = 0;
        for (const auto sender : item.senders) {
            const peer_envelope envelope{.sender = std::string{sender},
                                         .incarnation = sender.empty() ? 0U : 7U,
                                         .kind = envelope_kind::data,
                                         .body = std::to_string(++sequence),
                                         .sequence = sequence,
                                         .heard_incarnation = 1};
            REQUIRE(dialer.send(wire::encode(envelope)).ok());
        }
        const auto end = loop.after(core::duration_ms{100}, [&] { loop.stop(); });
        loop.run();
        CHECK(self.received == item.received);
        CHECK(self.links.counters().malformed == item.malformed);
        CHECK(self.links.counters().interrupted == 0);
    }
}

// Guards against a peer that cannot be understood after its connection was replaced, and against
// messages that name their sender although the connection has named it.
TEST_CASE("a dialer knows which message is the first on its connection") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<1>();
    peer_dialer dialer{loop, addresses[0]};
    CHECK(dialer.starts_connection());
    dialer.replace_connection();
    REQUIRE(dialer.send("first").ok());
    CHECK_FALSE(dialer.starts_connection());
    // Nobody listens: the attempts to connect fail, and the message waits for the next one.
    const auto end = loop.after(core::duration_ms{200}, [&] { loop.stop(); });
    loop.run();
    CHECK_FALSE(dialer.starts_connection());
    std::vector<std::string> received;
    peer_listener listener{loop, [&](std::uint64_t /*connection*/, std::string_view bytes) {
                               received.emplace_back(bytes);
                               loop.stop();
                               return bytes != "first"; // Closes the connection.
                           }};
    REQUIRE(listener.start(addresses[0]).ok());
    const auto limit = loop.after(test_timeout, [&] { loop.stop(); });
    loop.run();
    CHECK(received == std::vector<std::string>{"first"});
    const auto until_closed = loop.after(core::duration_ms{100}, [&] { loop.stop(); });
    loop.run();
    CHECK(dialer.starts_connection());
    REQUIRE(dialer.send("second").ok());
    loop.run();
    CHECK(received == std::vector<std::string>{"first", "second"});
    CHECK_FALSE(dialer.starts_connection());
}

// Guards against a log line that hides how many bytes waited when a link was given up.
TEST_CASE("the bytes that wait for a connection are counted") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<1>();
    peer_dialer dialer{loop, addresses[0]};
    CHECK(dialer.queued_bytes() == 0);
    constexpr std::string_view message = "message";
    REQUIRE(dialer.send(message).ok());
    CHECK(dialer.queued_bytes() == frame_header_bytes + message.size());
    CHECK(describe(link_condition{.silence = core::duration_ms{700}, .queued_bytes = 11}) ==
          "silent for 700 ms, 11 bytes queued");
}

// Guards against a peer that never learns that this side has counted it as lost, because its
// messages were late and not lost, and against a message that it sent before it knew.
TEST_CASE("a peer that was silent for too long is told so") {
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<2>();
    node self{loop, "self", addresses[0]};
    REQUIRE(self.links.start(std::array{peer_endpoint{"peer", addresses[1]}}).ok());
    scripted_peer peer{loop, addresses[1], addresses[0]};
    peer.send(envelope_kind::data, 0, 1);
    const auto late = loop.after(silence_limit + 2 * ping_interval, [&] {
        peer.send(envelope_kind::data, 0, 2);
        peer.send(envelope_kind::data, 0, 3, 1);
    });
    const auto end = loop.after(silence_limit + 4 * ping_interval, [&] { loop.stop(); });
    loop.run();
    CHECK(self.states == std::vector<bool>{true, false, true});
    CHECK(self.received == std::vector<std::string>{"peer:1", "peer:3"});
    CHECK(peer.told_session == 1);
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
                      [](std::string_view, link_change) {
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
