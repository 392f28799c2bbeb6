#include "hawthornstall/core/ms_clock.hpp"

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <ctime>
#include <string_view>

namespace hawthornstall::core {
namespace {

struct clock_case {
    std::string_view name;
    time_ms (*now)() noexcept;
    clockid_t system_clock;
};

time_ms read(clockid_t clock) {
    timespec time{};
    REQUIRE(clock_gettime(clock, &time) == 0);
    constexpr std::int64_t ms_per_second = 1'000;
    constexpr std::int64_t ns_per_ms = 1'000'000;
    return from_count(time.tv_sec * ms_per_second + time.tv_nsec / ns_per_ms);
}

// Guards against leases that outlive their holder's knowledge: a clock that stops while the machine
// is suspended, as CLOCK_MONOTONIC does, takes an old sign of life for a recent one. The two differ
// only on a machine that has been suspended since its start.
TEST_CASE("the clocks read the intended clocks of the system") {
    constexpr std::array cases{clock_case{"steady", &ms_clock::now, CLOCK_BOOTTIME},
                               clock_case{"wall", &ms_clock::wall_now, CLOCK_REALTIME}};
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto before = read(item.system_clock);
        const auto time = item.now();
        const auto after = read(item.system_clock);
        CHECK(before <= time);
        CHECK(time <= after);
    }
}

} // namespace
} // namespace hawthornstall::core
