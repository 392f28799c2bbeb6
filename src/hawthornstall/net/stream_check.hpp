#pragma once

/// Detects messages that were lost or delayed on the way from one process to another.

#include <cstdint>
#include <optional>

namespace hawthornstall::net {

/// Place of a message among those that one process sends to another.
struct stream_position {
    std::uint64_t incarnation = 0; ///< Of the sending process.
    std::uint64_t session = 0;     ///< How often the sender has lost the link.
    std::uint64_t sequence = 0;    ///< Data messages sent in this session so far.
};

/// What the place of a message says about the link.
enum class stream_verdict : std::uint8_t {
    in_order,  ///< Nothing is missing before the message.
    outdated,  ///< A later message has arrived already; this one must not be used.
    restarted, ///< The sender is a new process.
    resumed,   ///< The sender lost the link and regained it.
    gap,       ///< Messages before this one were lost.
};

/// Checks the messages that one process receives from another. TCP keeps the order of one
/// connection only: when a connection is replaced, messages of the old one are lost or arrive after
/// those of the new one.
class stream_check {
public:
    /// Checks a message and moves on to its place unless it is outdated. `is_data` is false for
    /// messages that repeat the number of the last data message. The first message after
    /// construction or reset() is in order, wherever it stands.
    [[nodiscard]] stream_verdict check(const stream_position& message, bool is_data);

    /// Forgets the sender's place, because the link was lost on this side.
    void reset() noexcept { last_.reset(); }

private:
    std::optional<stream_position> last_;
};

} // namespace hawthornstall::net
