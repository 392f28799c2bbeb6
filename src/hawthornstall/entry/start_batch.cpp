#include "hawthornstall/entry/start_batch.hpp"

#include <utility>

namespace hawthornstall::entry {
namespace detail {

journal::job_records make_first_records(open_job& job) {
    // One append records the first attempts of all tasks. A job is answered completely or not at
    // all, so a job with a single started task is lost in a failover anyway, whereas an append per
    // start would cost four messages per task.
    auto records = make_records(job);
    const auto task_count = static_cast<std::uint32_t>(job.request.tasks.size());
    for (std::uint32_t task = 0; task < task_count; ++task) {
        records.starts.push_back({.task = task, .attempt = 1});
    }
    return records;
}

} // namespace detail

journal::job_records make_records(open_job& job) {
    journal::job_records records;
    records.submission = *job.submission;
    if (!std::exchange(job.registered, true)) {
        records.registration = {.digest = job.digest,
                                .task_count = static_cast<std::uint32_t>(job.request.tasks.size())};
    }
    return records;
}

std::optional<start_permit> start_batch::add(const decided_start& start, open_job& job) {
    if (!job.registered) {
        records_.push_back(detail::make_first_records(job));
        registered_.push_back(start.job);
    }
    if (!job.first_attempt_used[start.task]) {
        job.first_attempt_used[start.task] = true;
        if (job.start_sequence != 0) {
            return start_permit{.attempt = 1, .sequence = job.start_sequence};
        }
        runs_.push_back(start.run);
        return start_permit{.attempt = 1};
    }
    const auto attempt = table_->next_attempt(*job.submission, start.task);
    if (!attempt) {
        return std::nullopt;
    }
    runs_.push_back(start.run);
    records_.push_back(make_records(job));
    records_.back().starts.push_back({.task = start.task, .attempt = *attempt});
    return start_permit{.attempt = *attempt};
}

void start_batch::set_sequence(open_jobs& jobs, std::uint64_t sequence) const {
    for (const auto number : registered_) {
        jobs.at(number).start_sequence = sequence;
    }
}

void start_batch::roll_back(open_jobs& jobs) const {
    for (const auto number : registered_) {
        auto& job = jobs.at(number);
        job.registered = false;
        job.first_attempt_used.assign(job.request.tasks.size(), false);
    }
}

} // namespace hawthornstall::entry
