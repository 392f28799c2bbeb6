#include "hawthornstall/net/buffered_socket.hpp"
#include "hawthornstall/net/frame.hpp"

#include <doctest/doctest.h>
#include <event2/buffer.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::net {
namespace {

// Guards against messages that are joined, cut or reordered when their bytes arrive in other pieces
// than they were sent in.
TEST_CASE("messages are read whole and in order, whatever pieces their bytes arrive in") {
    const std::array<std::string, 4> messages{"first", "", std::string(70'000, 'x'), "last"};
    const auto sent = detail::make_buffer();
    for (const auto& message : messages) {
        REQUIRE(append_frame(sent.get(), message));
    }
    const auto total = evbuffer_get_length(sent.get());
    const auto* const first_byte =
        reinterpret_cast<const char*>(evbuffer_pullup(sent.get(), -1)); // NOLINT: raw bytes
    const std::string_view bytes{first_byte, total};
    for (const std::size_t piece : {std::size_t{1}, std::size_t{3}, std::size_t{4096}, total}) {
        CAPTURE(piece);
        const auto received = detail::make_buffer();
        std::vector<std::string> read;
        for (std::size_t offset = 0; offset < total; offset += piece) {
            const auto part = bytes.substr(offset, piece);
            REQUIRE(evbuffer_add(received.get(), part.data(), part.size()) == 0);
            for (auto next = first_frame(received.get()); next.status == frame_status::complete;
                 next = first_frame(received.get())) {
                read.emplace_back(next.message);
                remove_frame(received.get(), next);
            }
        }
        CHECK(std::vector<std::string>{messages.begin(), messages.end()} == read);
        CHECK(evbuffer_get_length(received.get()) == 0);
    }
}

struct header_case {
    std::string_view name;
    std::string_view bytes;
    frame_status status;
};

// Guards against a hostile or corrupt length that claims the memory of the whole machine.
TEST_CASE("a frame that would exceed the largest message is refused at its header") {
    using namespace std::string_view_literals;
    constexpr std::array cases{
        header_case{"part of a header", "\0\0\0"sv, frame_status::incomplete},
        header_case{"empty message", "\0\0\0\0"sv, frame_status::complete},
        header_case{"largest message", "\x04\0\0\0"sv, frame_status::incomplete},
        header_case{"one byte more", "\x04\0\0\x01"sv, frame_status::too_large},
        header_case{"largest length", "\xff\xff\xff\xff"sv, frame_status::too_large},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto buffer = detail::make_buffer();
        REQUIRE(evbuffer_add(buffer.get(), item.bytes.data(), item.bytes.size()) == 0);
        CHECK(first_frame(buffer.get()).status == item.status);
    }
}

} // namespace
} // namespace hawthornstall::net
