#include "hawthornstall/control/append_planner.hpp"
#include "hawthornstall/control/entry_size.hpp"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::control {
namespace {

constexpr std::size_t kilobyte = 1'000;
constexpr std::uint64_t leader_term = 3;
constexpr auto start_time = core::from_count(1'000'000);

/// Configurations of the given sizes as entries 1, 2, ...
memory_log make_log(const std::vector<std::size_t>& content_bytes) {
    memory_log log;
    for (const auto bytes : content_bytes) {
        const auto index = log.last().index + 1;
        const std::array entry{
            log_entry{{leader_term, index},
                      numbered_config{.version = index, .content = std::string(bytes, 'x')}}};
        log.append(entry);
    }
    return log;
}

/// A leader that plans messages for one member.
struct planning_leader {
    memory_log log;
    consensus_settings settings{};
    member_progress progress{};
    std::uint64_t round = 1;
    core::time_ms now = start_time;
    bool may_send_snapshot = true;

    auto plan() {
        return plan_append({.term = leader_term,
                            .commit = log.last().index,
                            .round = round,
                            .confirmation_age = std::nullopt,
                            .may_send_snapshot = may_send_snapshot},
                           log, settings, progress, now);
    }

    /// Number of entries in the next message; empty when there is none or it is a snapshot.
    std::optional<std::size_t> planned_entries() {
        const auto planned = plan();
        const auto* const request = planned ? std::get_if<append_request>(&*planned) : nullptr;
        return request == nullptr ? std::nullopt : std::optional{request->entries.size()};
    }

    void answer(std::uint64_t answered_round, std::uint64_t index) {
        record_reply(
            {.term = leader_term, .matched = true, .index = index, .round = answered_round},
            progress);
    }
};

struct batch_case {
    std::string_view name;
    std::vector<std::size_t> content_bytes;
    std::size_t expected; ///< Entries in the first request.
};

// Guards against an append request that holds the whole log of a member with an empty disk: with
// large configurations it exceeded the largest message, and the memory of the leader.
TEST_CASE("an append request is limited in bytes and holds at least one entry") {
    const std::array cases{
        batch_case{"small entries", std::vector<std::size_t>(100, 10), 100},
        batch_case{"limited in number", std::vector<std::size_t>(1'000, 10), 256},
        batch_case{"limited in bytes", std::vector<std::size_t>(240, 300 * kilobyte), 3},
        batch_case{"a large entry alone", {8'000 * kilobyte, 10}, 1},
        batch_case{"a large entry after a small one", {10, 8'000 * kilobyte}, 1}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        planning_leader leader{.log = make_log(test.content_bytes)};
        CHECK(leader.planned_entries() == test.expected);
    }
}

struct resend_case {
    std::string_view name;
    std::optional<std::uint64_t> answered_round; ///< Empty when the member answers nothing.
    core::duration_ms after;
    bool is_sent_again;
};

// Guards against entries that are queued again and again on a link that takes longer for them than
// a timer, and against lost entries that are sent again only after that timer.
TEST_CASE("entries are sent again when the member answers a later message") {
    constexpr std::uint64_t sent_round = 5;
    constexpr std::array cases{
        resend_case{"no answer yet", std::nullopt, core::duration_ms{9'000}, false},
        resend_case{"an earlier message is answered", sent_round - 1, core::duration_ms{900},
                    false},
        resend_case{"a heartbeat of the same round is answered", sent_round, core::duration_ms{900},
                    false},
        resend_case{"a later heartbeat is answered", sent_round + 1, core::duration_ms{100}, true},
        resend_case{"no answer at all", std::nullopt, core::duration_ms{10'000}, true}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        planning_leader leader{.log = make_log({10, 10})};
        leader.round = sent_round;
        REQUIRE(leader.planned_entries() == 2);
        leader.now += test.after;
        ++leader.round;
        CHECK(leader.planned_entries() == (test.answered_round ? 0 : test.is_sent_again ? 2 : 0));
        if (test.answered_round) {
            leader.answer(*test.answered_round, 0);
            CHECK(leader.planned_entries() ==
                  (test.is_sent_again ? std::optional<std::size_t>{2} : std::nullopt));
        }
    }
}

// Guards against a leader that holds one copy of a large state for each member that lags, and
// against a member that gets a heartbeat with every change while it waits for its snapshot.
TEST_CASE("a snapshot waits while another one is in flight") {
    planning_leader leader{.log = make_log({10, 10})};
    leader.log.rebase({leader_term, 2}, {});
    leader.progress.next_index = 1;
    leader.may_send_snapshot = false;
    CHECK(leader.planned_entries() == 0);
    CHECK_FALSE(leader.plan().has_value());
    leader.may_send_snapshot = true;
    const auto planned = leader.plan();
    REQUIRE(planned.has_value());
    CHECK(std::holds_alternative<snapshot_needed>(*planned));
    CHECK(leader.progress.is_snapshot_in_flight);
    leader.answer(leader.round, 2);
    CHECK_FALSE(leader.progress.is_snapshot_in_flight);
}

struct refusal_case {
    std::string_view name;
    std::uint64_t round; ///< Of the refused request. A request of round 7 was accepted.
    std::uint64_t retry_after;
    std::uint64_t match_index;
    std::uint64_t next_index;
};

// Guards against a member that has lost entries to a damaged disk and never receives them again,
// because its leader only goes back to the last entry that the member once had.
TEST_CASE("a member that has lost entries is sent them again") {
    constexpr std::array cases{
        refusal_case{"delayed refusal", 7, 4, 10, 11},
        refusal_case{"earlier refusal", 6, 0, 10, 11},
        refusal_case{"a part of the log is lost", 8, 4, 4, 5},
        refusal_case{"the whole log is lost", 8, 0, 0, 1},
        refusal_case{"entries not yet sent are missing", 8, 12, 10, 11},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        member_progress progress{.next_index = 11};
        record_reply({.term = leader_term, .matched = true, .index = 10, .round = 7}, progress);
        record_reply(
            {.term = leader_term, .matched = false, .index = test.retry_after, .round = test.round},
            progress);
        CHECK(progress.match_index == test.match_index);
        CHECK(progress.next_index == test.next_index);
    }
}

} // namespace
} // namespace hawthornstall::control
