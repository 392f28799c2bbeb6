#pragma once

/// An entry host's copy of the configuration: service documents, numbered configuration and drained
/// zones.

#include "hawthornstall/control/document_messages.hpp"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// Result of comparing a digest with the copy, and what the entry host does then.
enum class digest_outcome : std::uint8_t {
    confirmed,      ///< The copy is the quorum's state as of the digest's confirmation age.
    behind,         ///< Subscribe again from the copy's revision.
    differs,        ///< Same revision, other content: subscribe again from revision 0.
    control_behind, ///< The control host lags behind the copy; ask another one.
};

/// Accepts deltas and digests in any order, also repeated ones and those of lagging control hosts;
/// the version of a document never decreases.
class applied_documents {
public:
    /// A copy without a confirmation for longer than this may be stale. It equals the time within
    /// which an edit takes effect on every reachable host.
    static constexpr core::duration_ms default_stale_after{5'000};

    explicit applied_documents(core::duration_ms stale_after = default_stale_after)
        : stale_after_(stale_after) {}

    /// Adopts the documents of `delta` that are newer than those of the copy. Returns the services
    /// whose document changed, as views into `delta`.
    std::vector<std::string_view> apply(const config_delta& delta);

    /// Compares the copy with `digest`.
    [[nodiscard]] digest_outcome check(const config_digest& digest, core::time_ms now);

    /// The document of `service` that this host uses, or null.
    [[nodiscard]] const core::service_document* find(std::string_view service) const;

    /// All documents, sorted by service.
    [[nodiscard]] std::span<const core::service_document> documents() const { return documents_; }

    /// The numbered configuration that this host uses; version 0 before the first.
    [[nodiscard]] const numbered_config& numbered() const noexcept { return numbered_; }

    /// The drained zones that this host knows of.
    [[nodiscard]] const zone_drains& drains() const noexcept { return drains_; }

    /// Revision up to which every change is applied.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /// Latest time at which the copy was known to be the quorum's state; empty before the first.
    [[nodiscard]] std::optional<core::time_ms> last_confirmed() const { return last_confirmed_; }

    /// Whether the copy is unconfirmed, or was last confirmed too long ago.
    [[nodiscard]] bool may_be_stale(core::time_ms now) const;

    /// The copy as one delta from revision 0, for the data folder. Apply it after a restart; it is
    /// unconfirmed until the next digest.
    [[nodiscard]] config_delta as_full_delta() const {
        return {0, revision_, documents_, numbered_, drains_};
    }

private:
    core::duration_ms stale_after_;
    std::uint64_t revision_ = 0;
    std::vector<core::service_document> documents_;
    numbered_config numbered_;
    zone_drains drains_;
    std::optional<core::time_ms> last_confirmed_;
};

} // namespace hawthornstall::control
