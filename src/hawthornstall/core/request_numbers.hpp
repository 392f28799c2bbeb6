#pragma once

/// Numbers of requests to other processes. An answer can arrive when the process that asked has
/// ended and its successor is running, so the processes of a host must not share numbers.

#include <cstdint>

namespace hawthornstall::core {

/// Upper limit of the numbers of one kind that a process uses per millisecond.
constexpr std::uint64_t numbers_per_ms = 1'000;

/// The numbers of a process count up from this value + 1. It is higher than all numbers of earlier
/// processes of the host. `incarnation` is the wall-clock start time of the process in ms.
[[nodiscard]] constexpr std::uint64_t last_earlier_number(std::uint64_t incarnation) noexcept {
    return incarnation * numbers_per_ms;
}

} // namespace hawthornstall::core
