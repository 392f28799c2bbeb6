#include "hawthornstall/core/weighted_rendezvous.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <string>
#include <vector>

namespace hawthornstall::core {
namespace {

constexpr int key_count = 10'000;

std::vector<std::size_t> owners_of_keys(std::span<const weighted_member> members) {
    std::vector<std::size_t> owners;
    owners.reserve(key_count);
    for (int key = 0; key < key_count; ++key) {
        owners.push_back(pick_owner("service-" + std::to_string(key), members).value());
    }
    return owners;
}

// Guards against a hash that assigns most shards to one host, and against weights without effect.
TEST_CASE("keys are distributed in proportion to the weights") {
    const std::array<weighted_member, 3> members{{{"a", 1.0}, {"b", 1.0}, {"c", 2.0}}};
    std::array<int, 3> counts{};
    for (const auto owner : owners_of_keys(members)) {
        ++counts.at(owner);
    }
    CHECK(counts[0] == doctest::Approx(key_count / 4.0).epsilon(0.1));
    CHECK(counts[1] == doctest::Approx(key_count / 4.0).epsilon(0.1));
    CHECK(counts[2] == doctest::Approx(key_count / 2.0).epsilon(0.1));
}

// Guards against a change of members that also moves keys between two members that both remain.
TEST_CASE("removing a member moves only the keys of that member") {
    const std::vector<weighted_member> before{{"a", 1.0}, {"b", 1.0}, {"c", 1.0}};
    const std::vector<weighted_member> after{{"a", 1.0}, {"b", 1.0}};
    const auto owners_before = owners_of_keys(before);
    const auto owners_after = owners_of_keys(after);
    for (std::size_t key = 0; key < owners_before.size(); ++key) {
        if (owners_before[key] < after.size()) {
            CHECK(owners_before[key] == owners_after[key]);
        }
    }
    CHECK_FALSE(pick_owner("key", {}).has_value());
}

} // namespace
} // namespace hawthornstall::core
