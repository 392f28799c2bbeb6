#include "hawthornstall/membership/random_schedule.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::membership {
namespace {

/// 300 schedules take 17 s in the debug build with the thread sanitizer, 3,000 take 2 s in the
/// normal build. The sanitizers look for errors that need fewer schedules.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t seed_count = 300;
#else
constexpr std::uint64_t seed_count = 3000;
#endif

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

// Guards against work for targets that left or fell silent, against older announcements that
// replace newer ones, and against views that still differ some time after the faults.
TEST_CASE("views of the targets are safe under faults and agree afterwards") {
    CHECK(find_violation<registry_rules>("") == "");
}

/// Accepts announcements in any order.
struct unordered_announcements : registry_rules {
    static bool supersedes(target_stamp later, target_stamp known) { return later != known; }
};

/// Counts a lease from the arrival of the peer's message.
struct lease_from_arrival : registry_rules {
    static std::optional<time_ms> lease_start(std::optional<time_ms> /*sent_not_before*/,
                                              time_ms arrival) {
        return arrival;
    }
};

/// Extends each lease beyond the end of the schedule.
struct endless_lease : registry_rules {
    static std::optional<time_ms> lease_start(std::optional<time_ms> /*sent_not_before*/,
                                              time_ms arrival) {
        return arrival + schedule_end;
    }
};

/// Drops targets at once when they leave or their lease expires.
struct no_retention : registry_rules {
    static duration_ms retention() { return duration_ms{0}; }
};

/// Never asks a peer for its full state.
struct no_state_transfer : registry_rules {
    static bool requests_state() { return false; }
};

/// A violation and the broken rules that must cause it.
struct broken_case {
    std::string_view problem;
    std::string (*find)(std::string_view);
};

// Guards against checks and schedules that can't detect a fault: each set of rules breaks one, and
// a schedule must report the violation that the rule prevents.
TEST_CASE("random schedules detect deliberately broken rules") {
    const std::array cases{
        broken_case{"an older announcement replaced a newer one",
                    &find_violation<unordered_announcements>},
        broken_case{"new work to a silent target", &find_violation<lease_from_arrival>},
        broken_case{"new work to a leaving target", &find_violation<endless_lease>},
        broken_case{"new work to a target after its departure",
                    &find_violation<unordered_announcements>},
        broken_case{"new work to a target after its departure", &find_violation<no_retention>},
        broken_case{"hosts have a wrong status", &find_violation<no_state_transfer>},
        broken_case{"hosts disagree", &find_violation<unordered_announcements>},
    };
    for (const auto& test : cases) {
        CAPTURE(test.problem);
        CHECK(test.find(test.problem) != "");
    }
}

} // namespace
} // namespace hawthornstall::membership
