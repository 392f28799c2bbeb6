#include "hawthornstall/membership/random_schedule.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::membership {
namespace {

constexpr std::uint64_t seed_count = 3000;

/// First violation over all seeds that begins with `problem`.
template <target_rules Rules> std::string find_violation(std::string_view problem) {
    for (std::uint64_t seed = 1; seed <= seed_count; ++seed) {
        for (const auto& violation : random_schedule<Rules>{seed}.run()) {
            if (violation.starts_with(problem)) {
                return "seed " + std::to_string(seed) + ": " + violation;
            }
        }
    }
    return {};
}

// Guards against work for targets that left or fell silent, against news that go backwards, and
// against views that stay apart after the faults end.
TEST_CASE("views of the targets are safe under faults and agree afterwards") {
    CHECK(find_violation<registry_rules>("") == "");
}

struct any_order : registry_rules {
    static bool supersedes(target_stamp later, target_stamp known) { return later != known; }
};

struct lease_from_arrival : registry_rules {
    static std::optional<time_ms> lease_start(std::optional<time_ms> /*sent_not_before*/,
                                              time_ms arrival) {
        return arrival;
    }
};

struct endless_lease : registry_rules {
    static std::optional<time_ms> lease_start(std::optional<time_ms> /*sent_not_before*/,
                                              time_ms arrival) {
        return arrival + schedule_end;
    }
};

struct forgets_departures : registry_rules {
    static duration_ms retention() { return duration_ms{0}; }
};

struct never_transfers_state : registry_rules {
    static bool requests_state() { return false; }
};

struct broken_case {
    std::string_view problem;
    std::string (*find)(std::string_view);
};

// Guards against checks of the schedule that pass whatever the registry does.
TEST_CASE("the schedule finds deliberately broken rules") {
    const std::array cases{
        broken_case{"older news replaced newer", &find_violation<any_order>},
        broken_case{"new work to a silent target", &find_violation<lease_from_arrival>},
        broken_case{"new work to a leaving target", &find_violation<endless_lease>},
        broken_case{"new work to a target after its departure", &find_violation<any_order>},
        broken_case{"new work to a target after its departure",
                    &find_violation<forgets_departures>},
        broken_case{"hosts do not see", &find_violation<never_transfers_state>},
        broken_case{"hosts disagree", &find_violation<any_order>},
    };
    for (const auto& test : cases) {
        CAPTURE(test.problem);
        CHECK(test.find(test.problem) != "");
    }
}

} // namespace
} // namespace hawthornstall::membership
