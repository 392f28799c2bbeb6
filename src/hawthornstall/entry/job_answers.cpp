#include "hawthornstall/entry/job_answers.hpp"

#include <string>
#include <utility>

namespace hawthornstall::entry {

core::job_answer make_answer_without_results(const std::optional<core::submission_id>& id,
                                             core::outcome_class outcome, std::string_view reason) {
    return {.id = id,
            .outcome = outcome,
            .reason = std::string{reason},
            .retry_after = {},
            .results = {}};
}

core::job_answer make_recorded_answer(const core::submission_id& id,
                                      const journal::submission_lookup& found) {
    auto answer = make_answer_without_results(id, journal::outcome_of(found.verdict),
                                              journal::to_string(found.verdict));
    if (found.end != nullptr) {
        answer.outcome = found.end->outcome;
        answer.reason = found.end->reason;
        answer.results = found.end->results;
        if (!found.end->answer_kept) {
            answer.outcome = core::outcome_class::may_have_run;
            answer.reason = "the job was answered, but its answer was too large to be kept";
        }
    }
    return answer;
}

core::job_answer make_decided_answer(open_job& job, const scheduling::end_decision& end) {
    core::job_answer answer{.id = job.request.id,
                            .outcome = end.outcome,
                            .reason = std::string{scheduling::to_string(end.reason)},
                            .retry_after = end.retry_after,
                            .results = {}};
    if (end.outcome == core::outcome_class::answered) {
        answer.results = std::move(job.results);
    }
    if (end.outcome == core::outcome_class::refused_not_run && job.registered) {
        // The journal has start records of this or an earlier owner, so "not run" cannot be
        // claimed. All those attempts ended without an answer, so the job has definitely failed.
        answer.outcome = core::outcome_class::failed;
    }
    return answer;
}

core::job_answer make_interrupted_answer(const open_job& job) {
    return make_answer_without_results(
        job.request.id, core::outcome_class::may_have_run,
        "the owner lost its journal quorum or was superseded after tasks had started");
}

core::job_answer make_no_quorum_answer(const core::job_request& request) {
    // Without the journal it is unknown whether an earlier submission of the job ran.
    return make_answer_without_results(
        request.id, core::outcome_class::may_have_run,
        "not run by this attempt, may have run before: the journal has no quorum");
}

} // namespace hawthornstall::entry
