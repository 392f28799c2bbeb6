#pragma once

/// One replica of the service documents: a consensus node together with the state it replicates.

#include "hawthornstall/control/consensus_node.hpp"
#include "hawthornstall/control/document_store.hpp"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace hawthornstall::control {

/// Requirements of a replica on the state machine that it replicates.
template <class Store>
concept replicated_store = requires(Store store, const Store& reader, const edit_command& edit,
                                    const numbered_config& config, const zone_drain_order& order,
                                    store_snapshot snapshot) {
    { store.apply(edit) } -> std::same_as<edit_answer>;
    { store.apply(config) } -> std::same_as<edit_answer>;
    { store.apply(order) } -> std::same_as<edit_answer>;
    { reader.snapshot() } -> std::same_as<store_snapshot>;
    { reader.revision() } -> std::convertible_to<std::uint64_t>;
    store.restore(std::move(snapshot));
};

/// Outcome of a submitted change.
struct change_outcome {
    std::uint64_t token = 0;
    /// Empty when leadership was lost: the change may still be accepted. Resending an edit with the
    /// same identifier, a numbered configuration with the same version, or an order to drain a zone
    /// is safe.
    std::optional<edit_answer> answer;

    bool operator==(const change_outcome&) const = default;
};

/// Results of one call of config_replica::finish().
struct replica_output {
    std::vector<change_outcome> change_outcomes;
    std::vector<peer_message> messages;
};

/// Applies the committed entries of a consensus node to a store and reports the outcomes of the
/// changes that were submitted here.
template <log_storage Storage, replicated_store Store = document_store> class config_replica {
public:
    /// Fails when the snapshot of `storage` cannot be read.
    [[nodiscard]] static absl::StatusOr<config_replica> open(Storage storage,
                                                             consensus_settings settings,
                                                             std::uint64_t seed, core::time_ms now,
                                                             Store store = Store{}) {
        auto snapshot = storage.load_snapshot();
        if (!snapshot.ok()) {
            return snapshot.status();
        }
        store.restore(std::move(snapshot->state));
        return config_replica{std::move(storage), std::move(settings), seed, now, std::move(store)};
    }

    void receive(const peer_message& message, core::time_ms now) { node_.receive(message, now); }
    void tick(core::time_ms now) { node_.tick(now); }

    /// Proposes a change. False when consensus_node::propose() refuses it; otherwise a later
    /// finish() returns the outcome with `token`.
    [[nodiscard]] bool submit(entry_payload change, std::uint64_t token) {
        const auto position = node_.propose(std::move(change));
        if (position) {
            pending_[position->index] = {.term = position->term, .token = token};
        }
        return position.has_value();
    }

    /// Applies the committed entries and returns outcomes and messages. After an error the replica
    /// must not be used any more.
    [[nodiscard]] absl::StatusOr<replica_output> finish(core::time_ms now) {
        auto effects = node_.finish(now);
        if (!effects.ok()) {
            return effects.status();
        }
        replica_output output;
        if (effects->installed_snapshot) {
            store_.restore(std::move(effects->installed_snapshot->state));
        }
        for (const auto& entry : effects->committed) {
            apply(entry, output);
        }
        if (!node_.is_leader()) {
            abandon_pending(output);
        }
        output.messages = std::move(effects->messages);
        compact();
        return output;
    }

    /// Digest for entry hosts; empty until a quorum has confirmed the state for the first time.
    [[nodiscard]] std::optional<config_digest> digest(core::time_ms now) {
        const auto confirmed = node_.confirmed_at();
        if (!confirmed) {
            return std::nullopt;
        }
        return config_digest{.revision = store_.revision(),
                             .versions_hash = versions_hash(store_.documents()),
                             .confirmation_age = now - *confirmed};
    }

    [[nodiscard]] const Store& store() const noexcept { return store_; }
    [[nodiscard]] consensus_node<Storage>& node() noexcept { return node_; }
    [[nodiscard]] const consensus_node<Storage>& node() const noexcept { return node_; }

private:
    struct pending_change {
        std::uint64_t term = 0;
        std::uint64_t token = 0;
    };

    config_replica(Storage storage, consensus_settings settings, std::uint64_t seed,
                   core::time_ms now, Store store)
        : compact_after_entries_(settings.compact_after_entries),
          compact_after_bytes_(settings.compact_after_bytes), store_(std::move(store)),
          node_(std::move(storage), std::move(settings), seed, now) {}

    void apply(const log_entry& entry, replica_output& output) {
        std::optional<edit_answer> answer;
        if (const auto* const edit = std::get_if<edit_command>(&entry.payload)) {
            answer = store_.apply(*edit);
        } else if (const auto* const config = std::get_if<numbered_config>(&entry.payload)) {
            answer = store_.apply(*config);
        } else if (const auto* const order = std::get_if<zone_drain_order>(&entry.payload)) {
            answer = store_.apply(*order);
        }
        const auto pending = pending_.find(entry.position.index);
        if (pending != pending_.end()) {
            const bool is_own = pending->second.term == entry.position.term;
            output.change_outcomes.push_back(
                {pending->second.token, is_own ? answer : std::nullopt});
            pending_.erase(pending);
        }
    }

    void abandon_pending(replica_output& output) {
        for (const auto& [index, pending] : pending_) {
            output.change_outcomes.push_back({pending.token, std::nullopt});
        }
        pending_.clear();
    }

    void compact() {
        const auto commit = node_.commit_index();
        const auto& log = node_.storage().log();
        // Uncommitted entries stay in the log and do not count.
        const auto entries = commit - log.base().index;
        const auto bytes = log.bytes_after(log.base().index) - log.bytes_after(commit);
        if (entries >= compact_after_entries_ || bytes >= compact_after_bytes_) {
            node_.compact(commit, store_.snapshot());
        }
    }

    std::size_t compact_after_entries_;
    std::size_t compact_after_bytes_;
    Store store_;
    consensus_node<Storage> node_;
    std::map<std::uint64_t, pending_change> pending_;
};

} // namespace hawthornstall::control
