#include "platform/soak/fault_plan.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <set>

namespace hawthornstall::platform::soak {
namespace {

constexpr std::array roles{host_role::control, host_role::control, host_role::control,
                           host_role::entry,   host_role::entry,   host_role::worker};
constexpr core::duration_ms length{8'000};

// Guards against failed seeds that cannot be reproduced and against faults that outlast the run.
TEST_CASE("a seed always gives the same faults, all within the length of the run") {
    std::set<fault_kind> kinds;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        const auto faults = draw_faults(seed, roles, length);
        CHECK(faults == draw_faults(seed, roles, length));
        CHECK(faults.size() >= 4);
        CHECK(std::ranges::is_sorted(faults, {}, &fault::at));
        CHECK(std::ranges::count(faults, fault_kind::wipe, &fault::kind) <= 1);
        for (const auto& item : faults) {
            kinds.insert(item.kind);
            CHECK(item.at.count() >= 0);
            CHECK(item.at + item.length <= length);
            CHECK((item.kind != fault_kind::wipe || roles.at(item.host) == host_role::control));
        }
    }
    CHECK(kinds.size() == 10);
}

} // namespace
} // namespace hawthornstall::platform::soak
