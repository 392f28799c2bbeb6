/// Members of dispatcher that forward jobs to their owner and return the answers to callers.

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Delay before the next attempt to forward a job that has no known owner, or whose owner refused.
constexpr core::duration_ms retry_delay{50};

/// An unanswered submission is sent again after this time, in case its answer was lost. The owner
/// deduplicates it, so no task starts twice.
constexpr core::duration_ms forward_resend_after{2000};

/// Time after the deadline in which an answer that the owner sent by the deadline can still arrive.
constexpr core::duration_ms answer_grace{250};

/// Whether the job needs a submission identifier. Only an idempotent job of a single task runs
/// without one, and without the journal.
bool needs_id(const core::job_request& job) {
    return !job.idempotent || job.tasks.size() != 1;
}

/// Answer to a job that got none from an owner before its deadline, or that cannot be forwarded.
core::job_answer answer_without_owner(const forwarded_job& job) {
    // A job that reached no owner did not run, unless the caller submitted it before and that
    // submission ran.
    const bool asked = job.unresolved_requests > 0;
    const bool may_have_run = asked || job.id_from_caller;
    return {.id = job.job.id,
            .outcome = may_have_run ? core::outcome_class::may_have_run
                                    : core::outcome_class::refused_not_run,
            .reason = asked ? "the owner did not answer before the deadline"
                      : may_have_run
                          ? "not run by this attempt, may have run before: no owner of the "
                            "service could be reached in the submission's home zone"
                          : "no owner of the service could be reached",
            .retry_after = core::duration_ms{1000},
            .results = {}};
}

} // namespace detail

void dispatcher::process(job_submitted submitted, times at) {
    forwarded_job job;
    job.reply_to = submitted.from;
    job.zone = submitted.job.id ? submitted.job.id->zone : options_.self.zone;
    job.id_from_caller = submitted.job.id.has_value();
    job.deadline = at.now + submitted.job.deadline;
    job.job = std::move(submitted.job);
    if (!hosts_.zone_is_reachable(job.zone)) {
        reply_to_front_end(submitted.from,
                           job_answered{submitted.from.request, detail::answer_without_owner(job)});
        return;
    }
    forward_to_owner(forwarded_.add(std::move(job)), at);
}

void dispatcher::process(const id_requested& requested, times at) {
    const auto owner = hosts_.find_owner(requested.service, options_.self.zone);
    if (!owner) {
        reply_to_front_end(
            requested.from,
            request_done{requested.from.request,
                         core::make_error(absl::StatusCode::kUnavailable,
                                          {.step = "issue_submission_id", .peer = {}},
                                          "no entry host of this zone owns the service now")});
        return;
    }
    reply_to_front_end(requested.from, id_issued{requested.from.request, make_id(*owner, at)});
}

core::submission_id dispatcher::make_id(const announced_owner& owner, times at) {
    return {.zone = options_.self.zone,
            .generation = owner.generation,
            .issued = at.wall,
            .key = options_.self.name + '-' + std::to_string(options_.incarnation) + '-' +
                   std::to_string(++last_issued_id_)};
}

void dispatcher::forward_to_owner(std::uint64_t number, times at) {
    auto* const job = forwarded_.find(number);
    if (job == nullptr) {
        return;
    }
    const auto owner = hosts_.find_owner(job->job.service, job->zone);
    if (!owner) {
        forwarded_.schedule(number, at.now + detail::retry_delay);
        return;
    }
    if (!job->job.id && detail::needs_id(job->job)) {
        job->job.id = make_id(*owner, at);
    }
    job->host = owner->host;
    ++job->unresolved_requests;
    // A request without an identifier is not deduplicated, so it is sent again only when the
    // connection to its owner is lost.
    forwarded_.schedule(number, job->job.id ? at.now + detail::forward_resend_after
                                            : job->deadline + detail::answer_grace);
    auto request = job->job;
    request.deadline = std::max(job->deadline - at.now, core::duration_ms{1});
    if (owner->host != options_.self.name) {
        send(owner->host,
             forward_job{.number = number, .zone = job->zone, .job = std::move(request)});
        return;
    }
    if (auto* const owned = find_shard(request.service)) {
        carry_out(
            *owned,
            owned->submit(std::move(request), forwarding_host{options_.self.name, number}, at), at);
    }
}

void dispatcher::receive(std::string_view peer, forward_job forwarded, times at) {
    auto* const owned = find_shard(forwarded.job.service);
    if (owned == nullptr || forwarded.zone != options_.self.zone) {
        send(peer, not_owner{forwarded.number});
        return;
    }
    carry_out(*owned,
              owned->submit(std::move(forwarded.job),
                            forwarding_host{std::string{peer}, forwarded.number}, at),
              at);
}

void dispatcher::receive(std::string_view /*peer*/, const job_done& done, times /*at*/) {
    answer_caller(done.number, done.answer);
}

void dispatcher::receive(std::string_view /*peer*/, const not_owner& refusal, times at) {
    if (auto* const job = forwarded_.find(refusal.number)) {
        job->unresolved_requests -= std::min<std::uint32_t>(job->unresolved_requests, 1);
        forwarded_.schedule(refusal.number, at.now + detail::retry_delay);
    }
}

void dispatcher::answer(const reply_address& reply_to, const core::job_answer& answer,
                        times /*at*/) {
    const auto& origin = std::get<forwarding_host>(reply_to);
    if (origin.host == options_.self.name) {
        answer_caller(origin.number, answer);
    } else {
        send(origin.host, job_done{.number = origin.number, .answer = answer});
    }
}

void dispatcher::answer_caller(std::uint64_t number, const core::job_answer& answer) {
    // The first answer removes the job from the table, so a duplicate or late one is dropped here.
    if (auto job = forwarded_.take(number)) {
        const auto& caller = std::get<local_caller>(job->reply_to);
        reply_to_front_end(caller, job_answered{caller.request, answer});
    }
}

void dispatcher::redirect(const reply_address& reply_to, times at) {
    const auto& origin = std::get<forwarding_host>(reply_to);
    if (origin.host == options_.self.name) {
        receive(origin.host, not_owner{origin.number}, at);
    } else {
        send(origin.host, not_owner{origin.number});
    }
}

void dispatcher::expire_forwarded(times at) {
    for (const auto& job : forwarded_.take_expired(at.now - detail::answer_grace)) {
        const auto& caller = std::get<local_caller>(job.reply_to);
        reply_to_front_end(caller, job_answered{caller.request, detail::answer_without_owner(job)});
    }
}

} // namespace hawthornstall::entry
