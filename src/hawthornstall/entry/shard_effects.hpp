#pragma once

/// What the owner of a shard asks its host to do.

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
    std::uint64_t run = 0; ///< Names the attempt in shard::task_ended.
    std::string target;
    std::string task_id; ///< Unique per task, the same for each attempt of it.
    std::uint32_t attempt = 1;
    bool idempotent = false;
    core::duration_ms timeout{};
    std::string payload;
};

/// Give the answer to a caller or to the forwarding host.
struct send_answer {
    reply_address reply_to;
    core::job_answer answer;
};

/// This host can't run the job and has started nothing of it: another host has to be asked.
struct send_redirect {
    reply_address reply_to;
};

/// Ownership or readiness of the shard changed; other hosts are to be told.
struct ownership_changed {};

using shard_effect =
    std::variant<send_journal_message, run_task, send_answer, send_redirect, ownership_changed>;
using shard_effects = std::vector<shard_effect>;

} // namespace hawthornstall::entry
