#include "hawthornstall/discovery/target_directory.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::discovery {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

target_record make_record(const std::string& id, std::uint64_t incarnation, std::uint64_t sequence,
                          const std::string& address = "10.0.0.1:80") {
    return {.id = id,
            .incarnation = incarnation,
            .sequence = sequence,
            .service = "restock",
            .address = address,
            .zone = "bilbao",
            .labels = {},
            .capacity = {}};
}

struct roster_case {
    std::string_view name;
    std::vector<target_record> announced;
    std::string expected_id;
    std::uint64_t expected_incarnation = 0;
    std::uint64_t expected_sequence = 0;
};

// Guards against work for a target that has ended, when its delayed announcement arrives after the
// one of its successor.
TEST_CASE("the newest announcement wins in any order of arrival") {
    const std::array cases{
        roster_case{"in order", {make_record("a", 1, 1), make_record("a", 1, 2)}, "a", 1, 2},
        roster_case{"out of order", {make_record("a", 1, 2), make_record("a", 1, 1)}, "a", 1, 2},
        roster_case{"restarted", {make_record("a", 1, 9), make_record("a", 2, 1)}, "a", 2, 1},
        roster_case{"late announcement of an earlier incarnation",
                    {make_record("a", 2, 1), make_record("a", 1, 9)},
                    "a",
                    2,
                    1},
        roster_case{"successor at the same address",
                    {make_record("a", 1, 9), make_record("b", 2, 1)},
                    "b",
                    2,
                    1},
        roster_case{"late announcement of a predecessor at the same address",
                    {make_record("b", 2, 1), make_record("a", 1, 9)},
                    "b",
                    2,
                    1},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        target_directory directory;
        for (const auto& record : item.announced) {
            directory.announce(record, start_time);
        }
        const auto targets = directory.targets();
        REQUIRE(targets.size() == 1);
        CHECK(targets[0].id == item.expected_id);
        CHECK(targets[0].incarnation == item.expected_incarnation);
        CHECK(targets[0].sequence == item.expected_sequence);
    }
}

// Guards against a target that is used again after it has left.
TEST_CASE("a target that left returns only with a new incarnation") {
    target_directory directory;
    directory.announce(make_record("a", 1, 1), start_time);
    directory.leave(make_record("a", 1, 1), start_time);
    CHECK(directory.targets().empty());
    CHECK_FALSE(directory.announce(make_record("a", 1, 2), start_time));
    CHECK(directory.targets().empty());
    CHECK(directory.announce(make_record("a", 2, 1), start_time));
    CHECK(directory.targets().size() == 1);
}

// Guards against memory that grows with every target that ever crashed.
TEST_CASE("a silent target is dropped") {
    target_directory directory;
    directory.announce(make_record("a", 1, 1), start_time);
    directory.tick(start_time + target_silence_limit);
    CHECK(directory.targets().size() == 1);
    directory.tick(start_time + target_silence_limit + core::duration_ms{1});
    CHECK(directory.targets().empty());
}

} // namespace
} // namespace hawthornstall::discovery
