#pragma once

/// Effects that a shard asks the dispatcher of its host to carry out.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/entry/reply_address.hpp"
#include "hawthornstall/journal/messages.hpp"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::entry {

/// Send `message` to a journal replica.
struct send_journal_message {
    std::string replica;
    journal::owner_message message;
};

/// Send one attempt of a task to a target and report its end once.
struct run_task {
    std::uint64_t run = 0; ///< Identifies the run in shard::task_ended.
    std::string target;
    std::string task_id; ///< Unique per task, equal for all attempts of the task.
    std::uint32_t attempt = 1;
    bool idempotent = false;
    core::duration_ms timeout{};
    std::string payload;
};

/// Send the answer of a job to the entry host that forwarded it.
struct send_answer {
    reply_address reply_to;
    core::job_answer answer;
};

/// Tell the entry host that forwarded a job that this host cannot run it and has started no task of
/// it, so that another host can be asked.
struct send_redirect {
    reply_address reply_to;
};

/// Ownership or readiness of the shard changed; the other entry hosts have to be notified.
struct ownership_changed {};

using shard_effect =
    std::variant<send_journal_message, run_task, send_answer, send_redirect, ownership_changed>;
using shard_effects = std::vector<shard_effect>;

} // namespace hawthornstall::entry
