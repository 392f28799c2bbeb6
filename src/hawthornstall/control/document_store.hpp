#pragma once

/// Deterministic state machine over the configuration log: service documents, numbered
/// configuration, drained zones and audit trail.

#include "hawthornstall/control/answered_edit_cache.hpp"
#include "hawthornstall/control/document_edit.hpp"
#include "hawthornstall/control/document_messages.hpp"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// Bounds on the memory of a store. They are part of the replicated state's definition: all control
/// hosts of one cluster must use the same ones.
struct store_bounds {
    /// Longest name or identifier, in bytes.
    std::size_t max_name_bytes = 128;
    /// Names of callers in one document.
    std::size_t max_callers = 256;
    std::size_t max_documents = 10'000;
    /// All documents together, as counted by document_bytes().
    std::size_t max_total_document_bytes = std::size_t{16} * 1024 * 1024;
    /// Answers kept for resent edits, for accepted and for refused edits separately, so that a
    /// large number of refused edits cannot evict accepted ones. 20,000 is more than two days of
    /// the design scale's 8,900 changes a day.
    std::size_t max_answered_edits = 20'000;
    /// Zones that can be drained at the same time.
    std::size_t max_drained_zones = 1'024;
    /// Latest audit records kept. With the bounds above, a snapshot is below 50 MB and so below
    /// wire::max_message_bytes: 30,000 records of at most 0.7 KB, 40,000 answers of at most 0.3 KB
    /// and 16 MiB of documents.
    std::size_t max_audit_records = 30'000;
};

/// Full state of a store.
struct store_snapshot {
    std::uint64_t revision = 0;
    std::vector<core::service_document> documents;  ///< Sorted by service.
    std::vector<std::uint64_t> changed_at_revision; ///< One per document.
    std::vector<audit_record> audit;                ///< Oldest first.
    std::vector<answered_edit> accepted_edits;      ///< Oldest first.
    std::vector<answered_edit> refused_edits;       ///< Oldest first.
    numbered_config numbered;
    std::uint64_t numbered_at_revision = 0;
    zone_drains drains{}; ///< Missing in snapshots of builds without drains.

    bool operator==(const store_snapshot&) const = default;
};

/// Size of a document against store_bounds::max_total_document_bytes.
[[nodiscard]] std::size_t document_bytes(const core::service_document& document);

/// Applies edits in log order. An edit whose answer is no longer cached is evaluated again; one
/// that was accepted before cannot be accepted a second time, because its base version is outdated.
class document_store {
public:
    document_store() : document_store(store_bounds{}) {}
    explicit document_store(store_bounds bounds)
        : bounds_(bounds), accepted_edits_(bounds.max_answered_edits),
          refused_edits_(bounds.max_answered_edits) {}

    /// Applies an edit, or returns the cached answer of a resent one.
    edit_answer apply(const edit_command& edit);

    /// Adopts `config` if its version is higher than the current one. The answer is `accepted`
    /// also when `config` is not adopted, and holds the version that is current afterwards.
    edit_answer apply(const numbered_config& config);

    /// Drains a zone or ends its drain. A repeated order changes nothing and is accepted again. The
    /// answer holds the revision of the last change; `store_full` when too many zones are drained,
    /// `invalid` for a name that is too long.
    edit_answer apply(const zone_drain_order& order);

    /// The drained zones.
    [[nodiscard]] const zone_drains& drains() const noexcept { return drains_; }

    /// The current numbered configuration; version 0 before the first.
    [[nodiscard]] const numbered_config& numbered() const noexcept { return numbered_; }

    /// The current document of `service`, or null.
    [[nodiscard]] const core::service_document* find(std::string_view service) const;

    /// All documents, sorted by service.
    [[nodiscard]] std::span<const core::service_document> documents() const { return documents_; }

    /// Number of changes accepted so far: edits, numbered configurations and drains.
    [[nodiscard]] std::uint64_t revision() const noexcept { return revision_; }

    /// Audit records after `revision` that are still kept, oldest first, at most `limit`.
    [[nodiscard]] std::span<const audit_record> audit_after(std::uint64_t revision,
                                                            std::size_t limit) const;

    /// Documents changed after `revision`.
    [[nodiscard]] config_delta delta_after(std::uint64_t revision) const;

    [[nodiscard]] store_snapshot snapshot() const;
    void restore(store_snapshot snapshot);

private:
    [[nodiscard]] std::optional<edit_answer>
    find_earlier_answer(const edit_key& key, std::uint64_t edit_content_hash) const;
    [[nodiscard]] edit_answer evaluate(const edit_command& edit) const;
    [[nodiscard]] bool is_valid(const edit_command& edit) const;
    [[nodiscard]] bool fits_bounds(const core::service_document& document) const;
    [[nodiscard]] std::size_t position_of(std::string_view service) const;
    void put(const core::service_document& document, std::uint64_t version);
    void record(const edit_command& edit, std::uint64_t version);
    void append_audit(audit_record record);

    store_bounds bounds_;
    std::uint64_t revision_ = 0;
    std::size_t total_bytes_ = 0;
    std::vector<core::service_document> documents_;
    std::vector<std::uint64_t> changed_at_revision_;
    std::vector<audit_record> audit_;
    numbered_config numbered_;
    std::uint64_t numbered_at_revision_ = 0;
    zone_drains drains_;
    answered_edit_cache accepted_edits_;
    answered_edit_cache refused_edits_;
};

} // namespace hawthornstall::control
