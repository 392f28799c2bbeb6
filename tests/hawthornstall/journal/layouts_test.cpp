#include "hawthornstall/journal/layouts.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <string_view>

namespace hawthornstall::journal {
namespace {

const owner_term term{.shard = {"paint", "bilbao"}, .epoch = 7, .owner = {"entry-1", 9}};
const replica_status status{
    .replica = "r1", .incarnation = 3, .generation = 5, .may_hold_records = true, .promised = 7};
const job_records records{.submission = {core::from_count(12), "order-1"},
                          .registration = submission_registration{{1, 2}, 2},
                          .starts = {{0, 1}, {1, 2}},
                          .ends = {{0, 1, core::outcome_class::failed, true}},
                          .end = job_end{core::outcome_class::answered, "", {"a", "b"}, true}};
const shard_snapshot snapshot{
    .written_by = 6,
    .forgotten_before = core::from_count(4),
    .submissions = {{{core::from_count(12), "order-1"},
                     {.registration = {{1, 2}, 1},
                      .epoch = 7,
                      .tasks = {{2, 7, 8, core::outcome_class::failed, true}},
                      .end = job_end{core::outcome_class::failed, "reason", {}, false}}}}};

struct owner_case {
    std::string_view name;
    owner_message message;
};

const std::array owner_cases{
    owner_case{"fence", fence{term, true}},
    owner_case{"append of two jobs", append{term, 5, 6, core::from_count(4), {records, records}}},
    owner_case{"append without records", append{term, 5, 6, {}, {}}},
    owner_case{"snapshot", install_snapshot{term, 5, 3, 6, snapshot}},
    owner_case{"formation", form_generation{term, 6, status}},
};

struct replica_case {
    std::string_view name;
    replica_message message;
};

const std::array replica_cases{
    replica_case{"fence reply with records", fence_reply{term.shard, 7, status, true, snapshot}},
    replica_case{"refused fence", fence_reply{term.shard, 7, status, false, {}}},
    replica_case{"ack", ack{term.shard, 7, status, true, 6}},
};

// Guards against a member that is missing from a layout. The other host would read its default
// value, and an epoch or attempt of 0 would disable fencing.
TEST_CASE("journal messages survive a round trip") {
    for (const auto& test : owner_cases) {
        CAPTURE(test.name);
        const auto decoded = wire::decode<owner_message>(wire::encode(test.message));
        REQUIRE(decoded.ok());
        CHECK(*decoded == test.message);
    }
    for (const auto& test : replica_cases) {
        CAPTURE(test.name);
        const auto decoded = wire::decode<replica_message>(wire::encode(test.message));
        REQUIRE(decoded.ok());
        CHECK(*decoded == test.message);
    }
}

} // namespace
} // namespace hawthornstall::journal
