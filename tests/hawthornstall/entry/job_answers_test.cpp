#include "hawthornstall/entry/job_answers.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::entry {
namespace {

using core::outcome_class;

struct decided_case {
    std::string_view name;
    outcome_class decided;
    bool is_registered;
    outcome_class expected;
    std::size_t results;
};

// Guards against a job that is reported as not run although starts were recorded, and against a
// partial answer.
TEST_CASE("the answer to a job follows from its decided end and its records") {
    constexpr std::array cases{
        decided_case{"answered with all results", outcome_class::answered, true,
                     outcome_class::answered, 2},
        decided_case{"refused before any start", outcome_class::refused_not_run, false,
                     outcome_class::refused_not_run, 0},
        decided_case{"refused after recorded starts", outcome_class::refused_not_run, true,
                     outcome_class::failed, 0},
        decided_case{"failed", outcome_class::failed, true, outcome_class::failed, 0},
        decided_case{"unknown", outcome_class::may_have_run, true, outcome_class::may_have_run, 0},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        open_job job;
        job.results = {"a", "b"};
        job.registered = item.is_registered;
        const auto answer = make_decided_answer(job, {.outcome = item.decided});
        CHECK(answer.outcome == item.expected);
        CHECK(answer.results.size() == item.results);
    }
}

struct recorded_case {
    std::string_view name;
    journal::submission_verdict verdict;
    bool has_end;
    bool answer_kept;
    outcome_class expected;
    std::size_t results;
};

// Guards against a resubmission that gets another outcome than the first submission, or that is
// told "answered" without the results because they were too large to be kept.
TEST_CASE("a resubmission gets the recorded end") {
    using journal::submission_verdict;
    constexpr std::array cases{
        recorded_case{"answered", submission_verdict::answered, true, true, outcome_class::answered,
                      1},
        recorded_case{"answer not kept", submission_verdict::answered, true, false,
                      outcome_class::may_have_run, 1},
        recorded_case{"too old", submission_verdict::too_old, false, false,
                      outcome_class::may_have_run, 0},
        recorded_case{"other content", submission_verdict::different_content, false, false,
                      outcome_class::refused_not_run, 0},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        journal::job_end end;
        end.outcome = outcome_class::answered;
        end.answer_kept = item.answer_kept;
        end.results = {"a"};
        const auto answer = make_recorded_answer({}, {item.verdict, item.has_end ? &end : nullptr});
        CHECK(answer.outcome == item.expected);
        CHECK(answer.results.size() == item.results);
    }
}

} // namespace
} // namespace hawthornstall::entry
