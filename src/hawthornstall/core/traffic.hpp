#pragma once

/// Counts of the messages that a process sends and receives.

#include <cstdint>
#include <string_view>

namespace hawthornstall::core {

/// Messages of one kind since the start of the process.
struct traffic_count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0; ///< Without the headers of HTTP, TCP and IP.

    void add(std::uint64_t size) noexcept {
        ++messages;
        bytes += size;
    }

    bool operator==(const traffic_count&) const = default;
};

/// The count of one kind of message, for metrics and logs.
struct traffic_row {
    std::string_view direction{}; ///< "sent" or "received"; a constant of the program.
    std::string_view kind{};      ///< For example "start_run"; a constant of the program.
    traffic_count count{};
};

} // namespace hawthornstall::core
