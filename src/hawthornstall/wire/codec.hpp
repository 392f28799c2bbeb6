#pragma once

/// MessagePack encoding of any type that has a wire layout.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/msgpack_adaptors.hpp"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>

namespace hawthornstall::wire {

/// Largest accepted message; bounds the memory that one hostile or damaged message can take.
constexpr std::size_t max_message_bytes = std::size_t{64} * 1024 * 1024;

namespace detail {

/// Most elements in one array of a message.
constexpr std::size_t max_elements = std::size_t{1} * 1024 * 1024;

/// Deepest nesting of a message.
constexpr std::size_t max_depth = 32;

} // namespace detail

/// Encoded form of `message`.
template <class Message> [[nodiscard]] std::string encode(const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Inverse of encode; malformed, oversized or trailing input is an error.
template <class Message> [[nodiscard]] absl::StatusOr<Message> decode(std::string_view bytes) {
    constexpr core::error_origin origin{.step = "decode_message", .peer = {}};
    if (bytes.size() > max_message_bytes) {
        return core::make_error(absl::StatusCode::kResourceExhausted, origin,
                                "message exceeds 64 MiB");
    }
    try {
        const msgpack::unpack_limit limit{detail::max_elements, detail::max_elements,
                                          max_message_bytes,    max_message_bytes,
                                          max_message_bytes,    detail::max_depth};
        std::size_t offset = 0;
        const auto handle =
            msgpack::unpack(bytes.data(), bytes.size(), offset, nullptr, nullptr, limit);
        if (offset != bytes.size()) {
            return core::make_error(absl::StatusCode::kInvalidArgument, origin,
                                    "bytes follow the end of the message");
        }
        return handle.get().as<Message>();
    } catch (const std::exception& error) {
        return core::make_error(absl::StatusCode::kInvalidArgument, origin, error.what());
    }
}

} // namespace hawthornstall::wire
