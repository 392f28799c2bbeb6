#include "hawthornstall/net/frame.hpp"

#include "hawthornstall/wire/codec.hpp"

#include <event2/buffer.h>

#include <array>

namespace hawthornstall::net {
namespace detail {

using frame_header = std::array<unsigned char, frame_header_bytes>;

constexpr unsigned bits_per_byte = 8;

frame_header encode_length(std::size_t length) {
    frame_header header{};
    for (auto position = header.rbegin(); position != header.rend(); ++position) {
        *position = static_cast<unsigned char>(length);
        length >>= bits_per_byte;
    }
    return header;
}

std::size_t decode_length(const frame_header& header) {
    std::size_t length = 0;
    for (const auto byte : header) {
        length = (length << bits_per_byte) | byte;
    }
    return length;
}

} // namespace detail

bool append_frame(evbuffer* buffer, std::string_view message) {
    const auto header = detail::encode_length(message.size());
    return evbuffer_add(buffer, header.data(), header.size()) == 0 &&
           evbuffer_add(buffer, message.data(), message.size()) == 0;
}

frame first_frame(evbuffer* buffer) {
    detail::frame_header header{};
    if (evbuffer_copyout(buffer, header.data(), header.size()) <
        static_cast<ev_ssize_t>(header.size())) {
        return {};
    }
    const auto length = detail::decode_length(header);
    if (length > wire::max_message_bytes) {
        return {.status = frame_status::too_large};
    }
    const auto frame_bytes = frame_header_bytes + length;
    if (evbuffer_get_length(buffer) < frame_bytes) {
        return {};
    }
    const auto* const bytes = reinterpret_cast<const char*>( // NOLINT: evbuffer holds raw bytes
        evbuffer_pullup(buffer, static_cast<ev_ssize_t>(frame_bytes)));
    return {.status = frame_status::complete, .message = {bytes + frame_header_bytes, length}};
}

void remove_frame(evbuffer* buffer, const frame& complete) {
    evbuffer_drain(buffer, frame_header_bytes + complete.message.size());
}

} // namespace hawthornstall::net
