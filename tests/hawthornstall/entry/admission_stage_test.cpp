#include "hawthornstall/entry/admission_stage.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::entry {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

struct decision_case {
    std::string_view name;
    bool has_id;
    bool is_open;
    owner_state owner;
    admission_decision expected;
};

// Guards against a job that is admitted by a host that does not own its service, and against a
// resubmission that is redirected away from the submission in progress.
TEST_CASE("the owner's state decides whether a job is admitted, waits or is redirected") {
    constexpr owner_state serving{.is_serving = true};
    constexpr owner_state taking{};
    constexpr owner_state idle{.journal_is_idle = true};
    constexpr owner_state draining{.is_draining = true, .is_serving = true};
    constexpr owner_state outdated{.is_serving = true, .scheduler_is_outdated = true};
    constexpr std::array cases{
        decision_case{"serving: admit", true, false, serving, admission_decision::admit},
        decision_case{"taking ownership: wait", true, false, taking, admission_decision::wait},
        decision_case{"no ownership: redirect", true, false, idle, admission_decision::redirect},
        decision_case{"draining: redirect", true, false, draining, admission_decision::redirect},
        decision_case{"draining, resubmission: admit", true, true, draining,
                      admission_decision::admit},
        decision_case{"taking ownership, resubmission: wait", true, true, taking,
                      admission_decision::wait},
        decision_case{"scheduler outdated: wait", true, false, outdated, admission_decision::wait},
        decision_case{"taking ownership, single request without journal: admit", false, false,
                      taking, admission_decision::admit},
        decision_case{"no ownership, single request: admit", false, false, idle,
                      admission_decision::admit},
        decision_case{"draining, single request: redirect", false, false, draining,
                      admission_decision::redirect},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        core::job_request request;
        if (item.has_id) {
            request.id.emplace();
        }
        CHECK(admission_stage{}.decide(request, item.is_open, item.owner) == item.expected);
    }
}

// Guards against jobs that wait beyond their deadline, and against a job that is returned twice.
TEST_CASE("waiting jobs are returned at their deadline or all together") {
    admission_stage stage;
    for (const int deadline_ms : {100, 300, 200}) {
        stage.add({.deadline = start_time + core::duration_ms{deadline_ms}});
    }
    CHECK(stage.take_expired(start_time + core::duration_ms{99}).empty());
    CHECK(stage.take_expired(start_time + core::duration_ms{200}).size() == 2);
    CHECK(stage.take_all().size() == 1);
    CHECK(stage.take_all().empty());
}

} // namespace
} // namespace hawthornstall::entry
