#pragma once

/// MessagePack encoding of types that have a wire layout.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/msgpack_adaptors.hpp"

#include <absl/status/statusor.h>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::wire {

/// Size of the largest accepted message. Limits the memory that one hostile or corrupt message can
/// claim.
constexpr std::size_t max_message_bytes = std::size_t{64} * 1024 * 1024;

namespace detail {

/// Most elements in one array or map of a message.
constexpr std::size_t max_container_elements = std::size_t{1} * 1024 * 1024;

/// Deepest accepted nesting of arrays and maps in a message.
constexpr std::size_t max_depth = 32;

} // namespace detail

/// Encodes `message` as MessagePack.
template <class Message> [[nodiscard]] std::string encode(const Message& message) {
    msgpack::sbuffer buffer;
    msgpack::pack(buffer, message);
    return {buffer.data(), buffer.size()};
}

/// Encodes a list as encode() does, and calls `on_size` with each message and its encoded size.
template <class Message, std::invocable<const Message&, std::size_t> OnSize>
[[nodiscard]] std::string encode_list(std::span<const Message> messages, OnSize on_size) {
    msgpack::sbuffer buffer;
    msgpack::packer<msgpack::sbuffer> packer{buffer};
    packer.pack_array(static_cast<std::uint32_t>(messages.size()));
    for (const auto& message : messages) {
        const auto before = buffer.size();
        packer.pack(message);
        on_size(message, buffer.size() - before);
    }
    return {buffer.data(), buffer.size()};
}

/// Inverse of encode(). Returns an error when `bytes` is malformed, too large or longer than the
/// message.
template <class Message> [[nodiscard]] absl::StatusOr<Message> decode(std::string_view bytes) {
    constexpr core::error_origin origin{.step = "decode_message", .peer = {}};
    if (bytes.size() > max_message_bytes) {
        return core::make_error(absl::StatusCode::kResourceExhausted, origin,
                                "message exceeds 64 MiB");
    }
    try {
        const msgpack::unpack_limit limit{detail::max_container_elements,
                                          detail::max_container_elements,
                                          max_message_bytes,
                                          max_message_bytes,
                                          max_message_bytes,
                                          detail::max_depth};
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
