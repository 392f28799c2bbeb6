#pragma once

/// Subscription messages, by which control hosts keep the documents of entry hosts up to date:
/// deltas and digests.

#include "hawthornstall/control/numbered_config.hpp"
#include "hawthornstall/control/zone_drains.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/service_document.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace hawthornstall::control {

/// Asks a control host for every document changed after `revision`, and for deltas and digests from
/// then on. Revision 0 asks for everything.
struct config_subscribe {
    std::uint64_t revision = 0;

    bool operator==(const config_subscribe&) const = default;
};

/// Documents changed after `from_revision` up to and including `to_revision`.
struct config_delta {
    std::uint64_t from_revision = 0;
    std::uint64_t to_revision = 0;
    std::vector<core::service_document> documents;
    std::optional<numbered_config> numbered{}; ///< Present when it changed after `from_revision`.
    std::optional<zone_drains> drains{};       ///< Present when they changed after `from_revision`.

    bool operator==(const config_delta&) const = default;
};

/// Summary of a control host's documents, with which an entry host checks its copy.
struct config_digest {
    std::uint64_t revision = 0;
    std::uint64_t versions_hash = 0; ///< versions_hash() of its documents.
    /// Time since the control host last knew that this was the quorum's state.
    core::duration_ms confirmation_age{};

    bool operator==(const config_digest&) const = default;
};

/// Hash over (service, version) of documents sorted by service.
[[nodiscard]] std::uint64_t versions_hash(std::span<const core::service_document> documents);

} // namespace hawthornstall::control
