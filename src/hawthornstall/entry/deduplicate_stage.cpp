#include "hawthornstall/entry/deduplicate_stage.hpp"

#include "hawthornstall/entry/job_answers.hpp"

#include <utility>

namespace hawthornstall::entry {
namespace detail {

open_job make_open_job(arrived_job arrived, std::string id_text) {
    open_job job;
    job.id_text = std::move(id_text);
    job.results.resize(arrived.request.tasks.size());
    job.first_attempt_used.resize(arrived.request.tasks.size());
    job.request = std::move(arrived.request);
    job.waiters = {arrived.reply_to};
    job.deadline = arrived.deadline;
    return job;
}

} // namespace detail

deduplicated_job deduplicate_stage::operator()(arrived_job arrived, core::time_ms wall_now) const {
    if (arrived.request.id) {
        return find_submission(std::move(arrived), wall_now);
    }
    auto name = host_prefix_ + std::to_string(jobs_->next_number());
    return new_job{.job = detail::make_open_job(std::move(arrived), std::move(name))};
}

deduplicated_job deduplicate_stage::find_submission(arrived_job arrived,
                                                    core::time_ms wall_now) const {
    const auto id = *arrived.request.id;
    const auto key = journal::key_of(id);
    const auto digest = journal::digest_of(arrived.request);
    if (const auto number = jobs_->number_of(key);
        number && id.generation == table_->log().generation()) {
        if (jobs_->at(*number).digest == digest) {
            return joined_job{*number};
        }
        return recorded_job{
            make_recorded_answer(id, {journal::submission_verdict::different_content, nullptr})};
    }
    const auto found = table_->find(id, digest, wall_now);
    if (found.verdict != journal::submission_verdict::fresh &&
        found.verdict != journal::submission_verdict::retryable) {
        return recorded_job{make_recorded_answer(id, found)};
    }
    new_job admitted{.job = detail::make_open_job(std::move(arrived), core::to_string(id)),
                     .was_registered = table_->log().state().find(key) != nullptr};
    admitted.job.submission = key;
    admitted.job.digest = digest;
    if (admitted.was_registered) {
        admitted.job.first_attempt_used.assign(admitted.job.request.tasks.size(), true);
    }
    return admitted;
}

} // namespace hawthornstall::entry
