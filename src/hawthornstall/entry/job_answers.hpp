#pragma once

/// Stage of an owner that makes the answers to jobs.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/submission_id.hpp"
#include "hawthornstall/entry/open_job.hpp"
#include "hawthornstall/journal/submission_table.hpp"
#include "hawthornstall/scheduling/decisions.hpp"

#include <optional>
#include <string_view>

namespace hawthornstall::entry {

/// An answer without results.
[[nodiscard]] core::job_answer
make_answer_without_results(const std::optional<core::submission_id>& id,
                            core::outcome_class outcome, std::string_view reason);

/// Answer to a submission that the journal knows.
[[nodiscard]] core::job_answer make_recorded_answer(const core::submission_id& id,
                                                    const journal::submission_lookup& found);

/// Answer to a job whose end was decided. Takes the results out of the job.
[[nodiscard]] core::job_answer make_decided_answer(open_job& job,
                                                   const scheduling::end_decision& end);

/// Answer to a job whose owner has lost the journal after tasks had started.
[[nodiscard]] core::job_answer make_interrupted_answer(const open_job& job);

/// Answer to a job whose journal has no quorum before anything was decided about it.
[[nodiscard]] core::job_answer make_no_quorum_answer(const core::job_request& request);

} // namespace hawthornstall::entry
