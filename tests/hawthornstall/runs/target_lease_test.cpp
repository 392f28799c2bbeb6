#include "hawthornstall/runs/target_lease.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

/// A lease of 1 s on a clock that may be 2 % slow.
constexpr duration_ms longest_lease = lease_upper_bound(run_bounds{}.longest_lease);
constexpr duration_ms without_late_calls = longest_lease + duration_ms{150};
constexpr duration_ms longest_delay{15'000};

struct late_call_case {
    std::string_view name;
    std::vector<duration_ms> sent; ///< Late calls, after the start of the lease.
    duration_ms ended_by{};        ///< The same.
    duration_ms late_runs_ended_by{};
};

// Guards against a task that starts elsewhere while late calls keep its run alive, and against a
// run that counts as alive for ever.
TEST_CASE("each late call extends the lease once") {
    const std::array cases{
        late_call_case{"none", {}, without_late_calls, core::time_ms{} - start_time},
        late_call_case{"one",
                       {duration_ms{0}},
                       without_late_calls + longest_lease,
                       longest_delay + longest_lease},
        late_call_case{"two, in another order",
                       {duration_ms{100}, duration_ms{0}},
                       without_late_calls + 2 * longest_lease,
                       duration_ms{100} + longest_delay + longest_lease},
        late_call_case{"one that cannot be executed when the lease ends",
                       {-longest_delay},
                       without_late_calls,
                       longest_lease},
        late_call_case{"one that can be executed shortly before",
                       {duration_ms{1'000} - longest_delay},
                       duration_ms{1'000} + longest_lease,
                       duration_ms{1'000} + longest_lease},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        target_lease lease{run_bounds{}, start_time};
        for (const auto sent : item.sent) {
            lease.add_late_call(start_time + sent);
        }
        CHECK(lease.ended_by() - start_time == item.ended_by);
        CHECK(lease.late_runs_ended_by() - start_time == item.late_runs_ended_by);
        lease.drop_expired_late_calls(start_time + 2 * longest_delay);
        CHECK(lease.ended_by() - start_time == without_late_calls);
    }
}

} // namespace
} // namespace hawthornstall::runs
