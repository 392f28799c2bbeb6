#include "hawthornstall/entry/dispatcher.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/core/overloaded.hpp"
#include "hawthornstall/core/request_numbers.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Interval of the ownership notices to the other entry hosts. Changes are sent at once.
constexpr core::duration_ms notice_interval{1000};

/// Interval between attempts to take ownership; longer than a fencing round trip, so that an
/// attempt can finish before the next one.
constexpr core::duration_ms claim_interval{200};

/// Longest time between two calls of tick().
constexpr core::duration_ms max_tick_interval{500};

} // namespace detail

dispatcher::dispatcher(dispatcher_options options, times started)
    : options_(std::move(options)), hosts_(options_.self, options_.others, started.now),
      replica_(options_.self.name, options_.incarnation),
      forwarded_(core::last_earlier_number(options_.incarnation)),
      config_(options_.control_hosts, core::last_earlier_number(options_.incarnation)),
      registry_({.incarnation = options_.incarnation,
                 .zone = options_.self.zone,
                 .peers = hosts_.zone_peers()}) {
    if (options_.saved_documents) {
        config_.restore(*options_.saved_documents);
        has_restored_documents_ = true;
    }
}

dispatcher_effects dispatcher::handle(dispatcher_message message, times at) {
    std::visit([&](auto&& input) { process(std::forward<decltype(input)>(input), at); },
               std::move(message));
    return take_effects(at);
}

dispatcher_effects dispatcher::tick(times at) {
    if (std::exchange(has_restored_documents_, false)) {
        apply_documents(at);
    }
    carry_out(config_.tick(at.now), at);
    claim_shards(at);
    for (auto& [service, owned] : shards_) {
        if (owned->next_call() <= at.now) {
            carry_out(*owned, owned->tick(at), at);
        }
    }
    tick_targets(at);
    for (const auto number : forwarded_.due(at.now)) {
        forward_to_owner(number, at);
    }
    expire_forwarded(at);
    if (notice_due_ || next_notice_ <= at.now) {
        send_notices(at);
    }
    return take_effects(at);
}

bool dispatcher::is_drained() const {
    return draining_ && !notice_due_ && forwarded_.size() == 0 &&
           std::ranges::all_of(shards_, [](const auto& entry) {
               return entry.second->is_idle() && !entry.second->log().is_serving();
           });
}

bool dispatcher::admits_jobs_of(std::string_view service) const {
    const auto found = shards_.find(service);
    return found != shards_.end() && found->second->admits_jobs();
}

std::map<std::string, std::uint64_t> dispatcher::owned_epochs() const {
    std::map<std::string, std::uint64_t> epochs;
    for (const auto& [service, owned] : shards_) {
        if (owned->admits_jobs()) {
            epochs.emplace(service, owned->log().epoch());
        }
    }
    return epochs;
}

std::optional<core::duration_ms> dispatcher::configuration_age(core::time_ms now) const {
    const auto confirmed = config_.documents().last_confirmed();
    return confirmed ? std::optional{now - *confirmed} : std::nullopt;
}

std::uint64_t dispatcher::generation_of(std::string_view service) const {
    return admits_jobs_of(service) ? shards_.find(service)->second->log().generation() : 0;
}

void dispatcher::process(const task_report& report, times at) {
    if (auto* const owner = find_shard(report.service)) {
        carry_out(*owner, owner->task_ended(report.run, report.result, report.body, at), at);
    }
}

void dispatcher::process(incoming_message incoming, times at) {
    if (const auto* const config = std::get_if<control::control_to_entry>(&incoming.content)) {
        carry_out(config_.handle(incoming.peer, *config, at.now), at);
        return;
    }
    auto& content = std::get<peer_message>(incoming.content);
    std::visit(core::overloaded{
                   [&](membership::message& message) {
                       receive(incoming.peer, incoming.incarnation, message, at);
                   },
                   [&](auto& message) { receive(incoming.peer, std::move(message), at); },
               },
               content);
}

void dispatcher::process(const peer_state_changed& change, times at) {
    hosts_.set_reachable(change.peer, change.reachable);
    if (change.reachable) {
        // The peer may have lost its state, for example in a restart, so a notice is sent at once.
        notice_due_ = true;
        next_notice_ = at.now;
    } else {
        forwarded_.retry_jobs_sent_to(change.peer, at.now);
    }
}

void dispatcher::process(const shutdown_requested& /*request*/, times at) {
    draining_ = true;
    notice_due_ = true;
    for (auto& [service, owned] : shards_) {
        carry_out(*owned, owned->drain(at), at);
    }
}

void dispatcher::process(const view_requested& requested, times at) {
    core::admin_view view;
    switch (requested.kind) {
    case core::view_kind::hosts:
        hosts_.set_own_notice(make_notice(at));
        view = hosts_.view(at.now);
        break;
    case core::view_kind::targets:
        view = view_targets(at);
        break;
    case core::view_kind::shards:
        view = view_shards();
        break;
    case core::view_kind::audit:
        carry_out(config_.audit(requested.from, at.now), at);
        return;
    }
    reply_to_front_end(requested.from, view_ready{requested.from.request, std::move(view)});
}

std::vector<core::shard_view> dispatcher::view_shards() const {
    std::vector<core::shard_view> rows;
    for (const auto& [service, owned] : shards_) {
        rows.push_back({.service = service,
                        .zone = options_.self.zone,
                        .serving = owned->admits_jobs(),
                        .has_quorum = owned->log().has_quorum(),
                        .epoch = owned->log().epoch(),
                        .generation = owned->log().generation(),
                        .queued_tasks = owned->queued_tasks(),
                        .running_tasks = owned->open_runs(),
                        .ejected_targets = owned->ejected_targets()});
    }
    return rows;
}

void dispatcher::receive(std::string_view peer, ownership_notice notice, times at) {
    hosts_.set_notice(peer, std::move(notice), at.now);
}

void dispatcher::receive(std::string_view peer, const journal::owner_message& message,
                         times /*at*/) {
    send(peer, replica_.handle(message));
}

void dispatcher::receive(std::string_view /*peer*/, const journal::replica_message& message,
                         times at) {
    const auto& shard_id = std::visit(
        [](const auto& reply) -> const journal::shard_id& { return reply.shard; }, message);
    if (auto* const owner = find_shard(shard_id.service)) {
        carry_out(*owner, owner->journal_message(message, at), at);
    }
}

shard* dispatcher::find_shard(std::string_view service) {
    const auto found = shards_.find(service);
    return found == shards_.end() ? nullptr : found->second.get();
}

void dispatcher::claim_shards(times at) {
    if (at.now < next_claim_) {
        return;
    }
    next_claim_ = at.now + detail::claim_interval;
    hosts_.set_own_notice(make_notice(at));
    for (auto& [service, owned] : shards_) {
        const bool idle = owned->log().phase() == journal::owner_phase::idle;
        if (idle && hosts_.should_own(service, at.now)) {
            carry_out(*owned, owned->take_ownership(at), at);
        }
    }
}

void dispatcher::carry_out(shard& source, shard_effects effects, times at) {
    for (auto& effect : effects) {
        std::visit(core::overloaded{
                       [&](send_journal_message& out) {
                           send_journal(out.replica, std::move(out.message), at);
                       },
                       [&](run_task& task) { start(source, std::move(task), at); },
                       [&](const send_answer& out) { answer(out.reply_to, out.answer, at); },
                       [&](const send_redirect& out) { redirect(out.reply_to, at); },
                       [&](const ownership_changed& /*changed*/) {
                           hosts_.set_own_notice(make_notice(at));
                           notice_due_ = true;
                           next_claim_ = std::min(next_claim_, at.now + detail::claim_interval);
                       },
                   },
                   effect);
    }
}

void dispatcher::send_journal(std::string_view replica, journal::owner_message message, times at) {
    if (replica != options_.self.name) {
        send(replica, std::move(message));
        return;
    }
    const auto reply = replica_.handle(message);
    receive(replica, reply, at);
}

void dispatcher::send(std::string_view peer, peer_message message) {
    effects_.emplace_back(outgoing_message{std::string{peer}, std::move(message)});
}

ownership_notice dispatcher::make_notice(times at) const {
    ownership_notice notice;
    notice.draining = draining_;
    notice.config_revision = config_.documents().revision();
    if (const auto confirmed = config_.documents().last_confirmed()) {
        notice.config_age_ms = (at.now - *confirmed).count();
    }
    for (const auto& [service, owned] : shards_) {
        if (owned->log().is_serving()) {
            notice.owned.push_back({.service = service,
                                    .epoch = owned->log().epoch(),
                                    .generation = owned->log().generation()});
        }
    }
    return notice;
}

void dispatcher::send_notices(times at) {
    notice_due_ = false;
    next_notice_ = at.now + detail::notice_interval;
    const auto notice = make_notice(at);
    hosts_.set_own_notice(notice);
    for (const auto& peer : hosts_.all_peers()) {
        send(peer, notice);
    }
}

void dispatcher::reply_to_front_end(const local_caller& caller, front_message message) {
    effects_.emplace_back(send_to_front_end{caller.front_end, std::move(message)});
}

dispatcher_effects dispatcher::take_effects(times at) {
    next_call_ = std::min(
        {next_notice_, next_claim_, next_target_tick_, at.now + detail::max_tick_interval});
    for (const auto& [service, owned] : shards_) {
        next_call_ = std::min(next_call_, owned->next_call());
    }
    if (const auto retry = forwarded_.next_due()) {
        next_call_ = std::min(next_call_, *retry);
    }
    if (notice_due_) {
        next_call_ = at.now;
    }
    next_call_ = std::max(next_call_, at.now + core::duration_ms{1});
    return std::exchange(effects_, {});
}

} // namespace hawthornstall::entry
