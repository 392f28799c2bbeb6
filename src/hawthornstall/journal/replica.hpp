#pragma once

/// Journal replica of a zone. It holds the records of the zone's shards in memory and promises
/// epochs to their owners.

#include "hawthornstall/journal/messages.hpp"

#include <map>
#include <string>

namespace hawthornstall::journal {

/// Replica in one process, which is one incarnation of it. It starts without state and is
/// recovering for every shard: it reports its status, but neither promises an epoch nor
/// acknowledges appends until it joins a generation by an install_snapshot or a form_generation.
/// Within one incarnation the generation of a shard only grows.
class replica {
public:
    /// `incarnation` must differ from that of every earlier process of the same replica.
    replica(std::string name, std::uint64_t incarnation)
        : name_(std::move(name)), incarnation_(incarnation) {}

    /// Handles a message of an owner or candidate and returns the answer to its sender.
    [[nodiscard]] replica_message handle(const owner_message& message);

    [[nodiscard]] replica_message handle(const fence& message);
    [[nodiscard]] replica_message handle(const append& message);
    [[nodiscard]] replica_message handle(const install_snapshot& message);
    [[nodiscard]] replica_message handle(const form_generation& message);

    /// Status for `shard`, as it is reported in each answer.
    [[nodiscard]] replica_status status(const shard_id& shard) const;

private:
    struct shard_data {
        generation_number generation = 0;
        bool may_hold_records = false;
        epoch_number promised = 0;
        owner_identity promised_to;  ///< Owner that got the promise.
        epoch_number written_by = 0; ///< Epoch of the last snapshot or formation.
        std::uint64_t applied = 0;   ///< Last append of that epoch.
        shard_state state;
    };

    [[nodiscard]] ack make_ack(const owner_term& term, bool accepted) const;
    /// Whether no higher epoch, and not this one to another owner, was promised.
    [[nodiscard]] static bool accepts_term(const shard_data& data, const owner_term& term);
    static void promise(shard_data& data, const owner_term& term);
    static void join_generation(shard_data& data, const owner_term& term,
                                generation_number generation);

    std::string name_;
    std::uint64_t incarnation_;
    std::map<shard_id, shard_data> shards_;
};

} // namespace hawthornstall::journal
