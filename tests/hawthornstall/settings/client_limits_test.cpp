#include "hawthornstall/settings/client_limits.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <string_view>

namespace hawthornstall::settings {
namespace {

struct limits_case {
    std::string_view name;
    std::uint64_t memory_mb = 120;
    std::uint64_t file_descriptors = 0;
    std::uint64_t max_client_bytes = 0;
    std::uint64_t max_client_connections = 0;
    std::uint64_t open_files = 0;
    client_limits expected;
};

// Guards against limits beyond the machine, and against a host that takes no clients because its
// machine is small.
TEST_CASE("the limits on clients follow from the machine unless the settings give them") {
    constexpr std::array cases{
        limits_case{"defaults", 120, 0, 0, 0, 1'024, {30'000'000, 412}},
        limits_case{"machine", 400, 10'250, 0, 0, 20'000, {100'000'000, 5'025}},
        limits_case{
            "the system allows fewer descriptors", 120, 10'250, 0, 0, 1'024, {30'000'000, 412}},
        limits_case{"few descriptors", 120, 64, 0, 0, 1'024, {30'000'000, 16}},
        limits_case{"no descriptors known", 120, 0, 0, 0, 0, {30'000'000, 16}},
        limits_case{"given", 120, 0, 2'000'000, 50, 1'024, {2'000'000, 50}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        seeded_settings settings;
        settings.memory_mb = item.memory_mb;
        settings.file_descriptors = item.file_descriptors;
        settings.max_client_bytes = item.max_client_bytes;
        settings.max_client_connections = item.max_client_connections;
        CHECK(derive_client_limits(settings, item.open_files) == item.expected);
    }
}

} // namespace
} // namespace hawthornstall::settings
