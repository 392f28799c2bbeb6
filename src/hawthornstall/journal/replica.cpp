#include "hawthornstall/journal/replica.hpp"

namespace hawthornstall::journal {

replica_message replica::handle(const owner_message& message) {
    return std::visit([this](const auto& body) { return handle(body); }, message);
}

replica_message replica::handle(const fence& message) {
    const auto found = shards_.find(message.term.shard);
    fence_reply reply{.shard = message.term.shard,
                      .epoch = message.term.epoch,
                      .status = {},
                      .accepted = false,
                      .snapshot = {}};
    if (found != shards_.end() && accepts_term(found->second, message.term)) {
        promise(found->second, message.term);
        reply.accepted = true;
        if (message.wants_snapshot) {
            reply.snapshot = found->second.state.snapshot();
        }
    }
    reply.status = status(message.term.shard);
    return reply;
}

replica_message replica::handle(const append& message) {
    const auto found = shards_.find(message.term.shard);
    // The owner's snapshot or formation must come first, because it replaces what earlier owners
    // wrote.
    if (found == shards_.end() || found->second.generation != message.generation ||
        !accepts_term(found->second, message.term) ||
        found->second.written_by != message.term.epoch) {
        return make_ack(message.term, false);
    }
    auto& data = found->second;
    if (message.sequence == data.applied + 1) {
        data.may_hold_records = true;
        data.applied = message.sequence;
        data.state.forget_before(message.forget_before);
        for (const auto& records : message.records) {
            data.state.apply(records, message.term.epoch);
        }
    }
    return make_ack(message.term, true);
}

replica_message replica::handle(const install_snapshot& message) {
    if (message.incarnation != incarnation_) {
        return make_ack(message.term, false);
    }
    const auto found = shards_.find(message.term.shard);
    const bool has_data = found != shards_.end();
    if (has_data && message.generation < found->second.generation) {
        return make_ack(message.term, false);
    }
    if (has_data && message.generation == found->second.generation) {
        if (!accepts_term(found->second, message.term)) {
            return make_ack(message.term, false);
        }
        // A snapshot that arrives after later appends must not undo them.
        if (found->second.written_by == message.term.epoch &&
            message.sequence <= found->second.applied) {
            return make_ack(message.term, true);
        }
    }
    auto& data = shards_[message.term.shard];
    join_generation(data, message.term, message.generation);
    data.may_hold_records = true;
    data.applied = message.sequence;
    data.state.restore(message.state);
    return make_ack(message.term, true);
}

replica_message replica::handle(const form_generation& message) {
    const auto current = status(message.term.shard);
    const auto found = shards_.find(message.term.shard);
    const bool is_repeated = found != shards_.end() &&
                             found->second.generation == message.generation &&
                             found->second.written_by == message.term.epoch &&
                             found->second.promised_to == message.term.owner;
    if (is_repeated) {
        return make_ack(message.term, accepts_term(found->second, message.term));
    }
    const bool is_expected = message.expected.incarnation == incarnation_ &&
                             message.expected.generation == current.generation &&
                             message.expected.may_hold_records == current.may_hold_records;
    if (!is_expected || message.generation <= current.generation) {
        return make_ack(message.term, false);
    }
    auto& data = shards_[message.term.shard];
    join_generation(data, message.term, message.generation);
    data.may_hold_records = false;
    data.applied = 0;
    data.state = {};
    return make_ack(message.term, true);
}

replica_status replica::status(const shard_id& shard) const {
    replica_status result{.replica = name_, .incarnation = incarnation_};
    if (const auto found = shards_.find(shard); found != shards_.end()) {
        result.generation = found->second.generation;
        result.may_hold_records = found->second.may_hold_records;
        result.promised = found->second.promised;
    }
    return result;
}

ack replica::make_ack(const owner_term& term, bool accepted) const {
    const auto found = shards_.find(term.shard);
    return {.shard = term.shard,
            .epoch = term.epoch,
            .status = status(term.shard),
            .accepted = accepted,
            .applied = accepted && found != shards_.end() ? found->second.applied : 0};
}

bool replica::accepts_term(const shard_data& data, const owner_term& term) {
    // Two candidates may choose the same epoch; only the first one gets the promise.
    return term.epoch > data.promised ||
           (term.epoch == data.promised && term.owner == data.promised_to);
}

void replica::promise(shard_data& data, const owner_term& term) {
    data.promised = term.epoch;
    data.promised_to = term.owner;
}

void replica::join_generation(shard_data& data, const owner_term& term,
                              generation_number generation) {
    data.generation = generation;
    data.written_by = term.epoch;
    promise(data, term);
}

} // namespace hawthornstall::journal
