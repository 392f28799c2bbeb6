#pragma once

/// Messages by which the entry hosts of a zone share their targets.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/target.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::membership {

/// Lets the receiver compute, on its own clock, a lower bound of the sending time (clock_echo).
struct clock_sample {
    core::time_ms sent_at{};            ///< On the sender's clock.
    std::uint64_t echo_incarnation = 0; ///< Incarnation that sent the echoed time.
    core::time_ms echo_sent_at{};       ///< Latest `sent_at` received from the receiver.
    core::duration_ms echo_age{};       ///< Time since its arrival; negative if none.

    bool operator==(const clock_sample&) const = default;
};

/// New content of one row of the sender's target_table.
struct table_change {
    std::uint32_t slot = 0;
    std::optional<core::target_announcement> content; ///< Empty if the row was removed.

    bool operator==(const table_change&) const = default;
};

/// Changes of the sender's table since `base_version`, and the renewals of all its rows. A receiver
/// whose copy is at `base_version` or later, up to `version`, reaches `version` by applying them.
struct target_delta {
    clock_sample clock;
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::vector<table_change> changes;
    std::string ages; ///< Age of each row, one byte per slot; see encode_age.

    bool operator==(const target_delta&) const = default;
};

/// Version and hash of the sender's table, to detect a copy that differs.
struct target_digest {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    bool operator==(const target_digest&) const = default;
};

/// Asks for the receiver's whole table after a missed version or a digest mismatch.
struct target_state_request {
    bool operator==(const target_state_request&) const = default;
};

/// The sender's whole table.
struct target_state {
    clock_sample clock;
    std::uint64_t version = 0;
    std::vector<table_change> rows;
    std::string ages; ///< As in target_delta.

    bool operator==(const target_state&) const = default;
};

/// Later announcements of targets whose row in the receiver's table is outdated but still renewed.
struct target_correction {
    std::vector<core::target_announcement> announcements;

    bool operator==(const target_correction&) const = default;
};

/// Any message between entry hosts about targets.
using message = std::variant<target_delta, target_digest, target_state_request, target_state,
                             target_correction>;

/// Resolution of the ages in messages. It lets an age fit into one byte, which keeps 278 targets in
/// a zone of 7 hosts within the budget for control traffic.
constexpr core::duration_ms age_unit{20};

/// Encoded age of a row that has no lease.
constexpr std::uint8_t no_lease = 255;

/// Encodes the age of a row's latest announcement in a byte. Ages are rounded up, so that no lease
/// is extended; those beyond 5,080 ms count as no lease.
[[nodiscard]] constexpr std::uint8_t encode_age(core::duration_ms age) noexcept {
    const auto units = (age.count() + age_unit.count() - 1) / age_unit.count();
    return units >= 0 && units < no_lease ? static_cast<std::uint8_t>(units) : no_lease;
}

/// Inverse of encode_age; empty for no_lease.
[[nodiscard]] constexpr std::optional<core::duration_ms> decode_age(std::uint8_t byte) noexcept {
    return byte == no_lease ? std::nullopt : std::optional{byte * age_unit};
}

} // namespace hawthornstall::membership
