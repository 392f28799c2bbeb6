#pragma once

/// Functions that build the answers to jobs.

#include "hawthornstall/core/job.hpp"
#include "hawthornstall/core/submission_id.hpp"
#include "hawthornstall/entry/open_job.hpp"
#include "hawthornstall/journal/submission_table.hpp"
#include "hawthornstall/scheduling/decisions.hpp"

#include <optional>
#include <string_view>

namespace hawthornstall::entry {

/// Answer that has an outcome and a reason only.
[[nodiscard]] core::job_answer
make_answer_without_results(const std::optional<core::submission_id>& id,
                            core::outcome_class outcome, std::string_view reason);

/// Answer to a submission that must not run (again), from what the journal has recorded about it.
[[nodiscard]] core::job_answer make_recorded_answer(const core::submission_id& id,
                                                    const journal::submission_lookup& found);

/// Answer to a job whose end the scheduler has decided. Moves the results out of the job.
[[nodiscard]] core::job_answer make_decided_answer(open_job& job,
                                                   const scheduling::end_decision& end);

/// Answer to a job with started tasks whose owner has lost its journal quorum or its ownership.
[[nodiscard]] core::job_answer make_interrupted_answer(const open_job& job);

/// Answer to a job that waited for its owner to serve until its deadline passed.
[[nodiscard]] core::job_answer make_no_quorum_answer(const core::job_request& request);

} // namespace hawthornstall::entry
