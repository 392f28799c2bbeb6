#pragma once

/// Frames on a connection between two of the system's processes: the length of a message in four
/// bytes, the most significant first, and the message.

#include <cstddef>
#include <cstdint>
#include <string_view>

struct evbuffer;

namespace hawthornstall::net {

/// Length of the header of a frame.
constexpr std::size_t frame_header_bytes = 4;

/// State of the frame at the start of a buffer.
enum class frame_status : std::uint8_t {
    complete,
    incomplete, ///< More bytes must arrive.
    too_large,  ///< The message would exceed wire::max_message_bytes.
};

/// The frame at the start of a buffer.
struct frame {
    frame_status status = frame_status::incomplete;
    std::string_view message{}; ///< Valid until the buffer changes.
};

/// Appends `message` as a frame to `buffer`. Returns whether there was enough memory.
[[nodiscard]] bool append_frame(evbuffer* buffer, std::string_view message);

/// Finds the frame at the start of `buffer` and leaves it there.
[[nodiscard]] frame first_frame(evbuffer* buffer);

/// Removes the complete frame that first_frame() has returned.
void remove_frame(evbuffer* buffer, const frame& complete);

} // namespace hawthornstall::net
