#include "hawthornstall/runs/job_cancellations.hpp"

#include <algorithm>
#include <iterator>

namespace hawthornstall::runs {

std::string_view to_string(cancellation_outcome outcome) noexcept {
    switch (outcome) {
    case cancellation_outcome::cancelled:
        return "cancelled";
    case cancellation_outcome::unknown_job:
        return "no such job";
    case cancellation_outcome::undecided:
        break;
    }
    return "not decided: no scheduler answered in time";
}

void job_cancellations::open(std::uint64_t request, const std::string& job,
                             const std::optional<std::string>& scheduler, core::time_ms now) {
    const auto number = ++last_number_;
    open_[number] = {.request = request,
                     .job = job,
                     .scheduler = scheduler.value_or(""),
                     .expires_at = scheduler ? now + answer_limit : now};
    if (scheduler) {
        effects_.messages.push_back({*scheduler, cancel_by_id{.number = number, .job = job}});
    }
}

void job_cancellations::found_here(std::uint64_t request) {
    const auto position = std::ranges::find_if(
        open_, [&](const auto& item) { return item.second.request == request; });
    if (position != open_.end()) {
        position->second.found = true;
    }
}

void job_cancellations::answered(std::string_view scheduler, const cancel_result& message) {
    const auto position = open_.find(message.number);
    if (position == open_.end() || position->second.scheduler != scheduler) {
        return;
    }
    const bool found = message.found || position->second.found;
    finish(position, found ? cancellation_outcome::cancelled : cancellation_outcome::unknown_job);
}

void job_cancellations::host_unreachable(std::string_view host) {
    for (auto position = open_.begin(); position != open_.end();) {
        position = position->second.scheduler == host ? give_up(position) : std::next(position);
    }
}

void job_cancellations::tick(core::time_ms now) {
    for (auto position = open_.begin(); position != open_.end();) {
        position = position->second.expires_at <= now ? give_up(position) : std::next(position);
    }
}

job_cancellations::open_map::iterator job_cancellations::give_up(open_map::iterator position) {
    // Another front end may have a caller of the job too, so that one found here does not decide.
    return finish(position, cancellation_outcome::undecided);
}

job_cancellations::open_map::iterator job_cancellations::finish(open_map::iterator position,
                                                                cancellation_outcome outcome) {
    const auto& open = position->second;
    effects_.answers.push_back({.request = open.request,
                                .job = open.job,
                                .scheduler = open.scheduler,
                                .outcome = outcome});
    return open_.erase(position);
}

} // namespace hawthornstall::runs
