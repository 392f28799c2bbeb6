#pragma once

/// Journal replica of a zone: holds records in memory and votes for the owners of its shards.

#include "hawthornstall/journal/messages.hpp"

#include <map>
#include <string>

namespace hawthornstall::journal {

/// One process life of a replica. It starts without state, which means recovering for every shard:
/// it reports its status but neither votes nor acknowledges appends until it joins a generation by
/// a copy or a formation. Within one incarnation a shard's generation only grows.
class replica {
public:
    /// `incarnation` must differ from that of every earlier life of the same replica.
    replica(std::string name, std::uint64_t incarnation)
        : name_(std::move(name)), incarnation_(incarnation) {}

    /// Takes a message of an owner or candidate and returns the answer to its sender.
    [[nodiscard]] replica_message handle(const owner_message& message);

    [[nodiscard]] replica_message handle(const fence& message);
    [[nodiscard]] replica_message handle(const append& message);
    [[nodiscard]] replica_message handle(const copy& message);
    [[nodiscard]] replica_message handle(const form& message);

    [[nodiscard]] replica_status status(const shard_id& shard) const;

private:
    struct shard_data {
        generation_number generation = 0;
        bool used = false;
        epoch_number promised = 0;
        owner_identity promised_to;
        epoch_number written_by = 0; ///< Epoch of the last copy or formation.
        std::uint64_t applied = 0;   ///< Last append of that epoch.
        shard_state state;
    };

    [[nodiscard]] ack make_ack(const owner_term& term, bool accepted) const;
    [[nodiscard]] static bool admits(const shard_data& data, const owner_term& term);
    static void promise(shard_data& data, const owner_term& term);
    static void join(shard_data& data, const owner_term& term, generation_number generation);

    std::string name_;
    std::uint64_t incarnation_;
    std::map<shard_id, shard_data> shards_;
};

} // namespace hawthornstall::journal
