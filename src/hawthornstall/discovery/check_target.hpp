#pragma once

/// Limits of the announcements that are taken from targets. Announcements may come from a sender
/// that is no target, and each accepted one is forwarded to all entry hosts.

#include "hawthornstall/discovery/target_record.hpp"

#include <absl/status/status.h>

#include <cstddef>
#include <cstdint>

namespace hawthornstall::discovery {

/// Longest id, service, zone or label, in bytes.
constexpr std::size_t max_name_bytes = 256;

/// Longest address, in bytes.
constexpr std::size_t max_address_bytes = 80;

/// Most labels of one target. Receivers refuse a whole message with a list that is too long.
constexpr std::size_t max_labels = 64;

/// Latest start time, in Unix ms: the year 2200. A later one would hide all announcements of the
/// target that really has this id or address.
constexpr std::uint64_t max_incarnation = 7'258'118'400'000;

/// Largest sequence number: 2^53 - 1, the largest whole number that every JSON writer can express.
constexpr std::uint64_t max_sequence = 9'007'199'254'740'991;

/// Longest time for which a target can announce that it is slow after its start: a day.
constexpr core::duration_ms max_cold_time{86'400'000};

/// Largest capacity of one target: a million cores, a petabyte and a million accelerators. Sums
/// over all targets of a deployment stay within 64 bits.
constexpr core::resources max_capacity{
    .cpu_millis = 1'000'000'000, .memory_mb = 1'000'000'000, .accelerators = 1'000'000};

/// Returns InvalidArgument when a value of `record` is out of range, or when its address is not an
/// "ip:port" that can be connected to.
[[nodiscard]] absl::Status check_target(const target_record& record);

} // namespace hawthornstall::discovery
