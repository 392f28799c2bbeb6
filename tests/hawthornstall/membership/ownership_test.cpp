#include "hawthornstall/membership/ownership.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace hawthornstall::membership {
namespace {

// Guards against an owner that doesn't depend on the zone, which would put the shards of a service
// in all zones on one host, and against an empty host list.
TEST_CASE("the owner depends on service and zone") {
    const std::array<core::weighted_member, 3> hosts{{{"a", 1.0}, {"b", 1.0}, {"c", 1.0}}};
    int different = 0;
    for (int number = 0; number < 100; ++number) {
        const auto service = "service-" + std::to_string(number);
        const auto owner = owner_of(service, "bilbao", hosts);
        CHECK(owner == owner_of(service, "bilbao", hosts));
        different += owner != owner_of(service, "oviedo", hosts) ? 1 : 0;
    }
    CHECK(different > 40);
    CHECK(owner_of("service", "bilbao", {}).empty());
}

} // namespace
} // namespace hawthornstall::membership
