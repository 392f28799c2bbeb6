#include "hawthornstall/net/buffered_socket.hpp"
#include "hawthornstall/net/frame.hpp"
#include "hawthornstall/net/socket_address.hpp"
#include "hawthornstall/net/test_node.hpp"
#include "hawthornstall/wire/codec.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>

#include <array>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hawthornstall::net {
namespace {

/// A peer whose messages arrive slowly: a part of each in fixed intervals.
class slow_peer {
public:
    slow_peer(runtime::event_loop& loop, std::string_view peer_address)
        : loop_(loop), socket_(detail::make_buffered_socket(loop.base(), -1)) {
        const auto address = parse_socket_address(peer_address);
        REQUIRE(address.ok());
        REQUIRE(bufferevent_socket_connect(socket_.get(), address->data(),
                                           static_cast<int>(address->length)) == 0);
    }

    /// Sends the first message at once and the second one in `parts`, one every `interval`. The
    /// last part is left out if `is_complete` is false.
    void send(std::size_t parts, core::duration_ms interval, bool is_complete) {
        const auto first = frame_of(1, "small");
        bufferevent_write(socket_.get(), first.data(), first.size());
        rest_ = frame_of(2, std::string(100'000, 'x'));
        part_bytes_ = rest_.size() / parts + 1;
        kept_back_ = is_complete ? 0 : part_bytes_;
        timer_ = loop_.every(interval, [this] {
            if (rest_.size() > kept_back_) {
                const auto part = rest_.substr(0, part_bytes_);
                bufferevent_write(socket_.get(), part.data(), part.size());
                rest_.erase(0, part.size());
            }
        });
    }

private:
    static std::string frame_of(std::uint64_t sequence, std::string body) {
        const auto message = wire::encode(peer_envelope{.sender = "peer",
                                                        .incarnation = 1,
                                                        .kind = envelope_kind::data,
                                                        .body = std::move(body),
                                                        .session = 0,
                                                        .sequence = sequence,
                                                        .heard_incarnation = 1,
                                                        .heard_session = 0});
        const auto buffer = detail::make_buffer();
        REQUIRE(append_frame(buffer.get(), message));
        std::string bytes(evbuffer_get_length(buffer.get()), '\0');
        evbuffer_remove(buffer.get(), bytes.data(), bytes.size());
        return bytes;
    }

    runtime::event_loop& loop_;
    detail::buffered_socket socket_;
    std::string rest_;
    std::size_t part_bytes_ = 0;
    std::size_t kept_back_ = 0;
    runtime::event_handle timer_;
};

struct slow_message_case {
    std::string_view name;
    std::size_t parts;
    bool is_complete;
    std::vector<bool> states;
    std::size_t received;
};

// Guards against a large message that never arrives: while it took longer on a slow link than the
// silence limit, its sender counted as lost, and the connection was closed and the message sent
// again, without end.
TEST_CASE("a peer is not silent while a long message of it arrives") {
    constexpr core::duration_ms interval{300};
    const std::array cases{slow_message_case{"for twice the silence limit", 10, true, {true}, 2},
                           slow_message_case{"and then nothing more", 3, false, {true, false}, 1}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        runtime::event_loop loop;
        const auto addresses = testing::free_addresses<2>();
        node self{loop, "self", addresses[0]};
        REQUIRE(self.links.start(std::array{peer_endpoint{"peer", addresses[1]}}).ok());
        slow_peer peer{loop, addresses[0]};
        peer.send(test.parts, interval, test.is_complete);
        const auto end = loop.after(2 * silence_limit + 2 * ping_interval, [&] { loop.stop(); });
        loop.run();
        CHECK(self.states == test.states);
        CHECK(self.received.size() == test.received);
    }
}

} // namespace
} // namespace hawthornstall::net
