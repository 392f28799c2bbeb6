#pragma once

/// Messages between entry hosts about the targets of a zone.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/target.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::membership {

/// Lets the receiver bound from below, on its own clock, when the message was sent.
struct clock_sample {
    core::time_ms sent_at{};            ///< Sender's clock.
    std::uint64_t echo_incarnation = 0; ///< Receiver's incarnation that sent the echoed time.
    core::time_ms echo_sent_at{};       ///< Latest `sent_at` that came from the receiver.
    core::duration_ms echo_age{};       ///< Time since its arrival; negative when there is none.

    bool operator==(const clock_sample&) const = default;
};

/// New content of one row of the sender's target table; empty when the row was removed.
struct table_change {
    std::uint32_t slot = 0;
    std::optional<core::target_announcement> content;

    bool operator==(const table_change&) const = default;
};

/// Changes of the sender's table and renewals of all its rows. A receiver that holds a version
/// from `base_version` to `version` reaches `version` by applying the changes.
struct target_delta {
    clock_sample clock;
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::vector<table_change> changes;
    std::string ages; ///< One byte per slot, see encode_age.

    bool operator==(const target_delta&) const = default;
};

/// Summary of the sender's table.
struct target_digest {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;

    bool operator==(const target_digest&) const = default;
};

/// Asks for the receiver's whole table after a gap or a digest mismatch.
struct target_state_request {
    bool operator==(const target_state_request&) const = default;
};

/// The sender's whole table.
struct target_state {
    clock_sample clock;
    std::uint64_t version = 0;
    std::vector<table_change> rows;
    std::string ages;

    bool operator==(const target_state&) const = default;
};

/// Tells the receiver that it renews rows whose targets have later news.
struct target_correction {
    std::vector<core::target_announcement> news;

    bool operator==(const target_correction&) const = default;
};

/// Any message of this area.
using message = std::variant<target_delta, target_digest, target_state_request, target_state,
                             target_correction>;

/// Resolution of ages in deltas. One byte per target keeps 278 targets in a zone of 7 hosts
/// within the control budget.
constexpr core::duration_ms age_unit{20};

/// Byte for a row that has no lease.
constexpr std::uint8_t no_lease = 255;

/// Age of a row's latest announcement as a byte. Rounded up, so that no lease is extended; ages
/// beyond 5,080 ms count as no lease.
[[nodiscard]] constexpr std::uint8_t encode_age(core::duration_ms age) noexcept {
    const auto units = (age.count() + age_unit.count() - 1) / age_unit.count();
    return units >= 0 && units < no_lease ? static_cast<std::uint8_t>(units) : no_lease;
}

/// Inverse of encode_age, empty for no_lease.
[[nodiscard]] constexpr std::optional<core::duration_ms> decode_age(std::uint8_t byte) noexcept {
    return byte == no_lease ? std::nullopt : std::optional{byte * age_unit};
}

} // namespace hawthornstall::membership
