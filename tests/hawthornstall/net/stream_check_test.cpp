#include "hawthornstall/net/stream_check.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::net {
namespace {

struct verdict_case {
    std::string_view name;
    stream_position next{};
    bool is_data = true;
    stream_verdict expected = stream_verdict::in_order;
    bool moves = true; ///< The message after `next` is expected to follow it.
};

constexpr stream_position last{.incarnation = 100, .session = 2, .sequence = 7};

// Guards against a lost or delayed message that goes unnoticed: one process then counts on an
// answer or a cancellation that the other one never got.
TEST_CASE("the place of a message tells whether messages were lost or delayed") {
    constexpr std::array cases{
        verdict_case{.name = "next data message", .next = {100, 2, 8}},
        verdict_case{.name = "ping after the last message", .next = {100, 2, 7}, .is_data = false},
        verdict_case{
            .name = "data message missing", .next = {100, 2, 9}, .expected = stream_verdict::gap},
        verdict_case{.name = "ping after a missing message",
                     .next = {100, 2, 8},
                     .is_data = false,
                     .expected = stream_verdict::gap},
        verdict_case{.name = "same message again",
                     .next = {100, 2, 7},
                     .expected = stream_verdict::outdated,
                     .moves = false},
        verdict_case{.name = "ping that was overtaken",
                     .next = {100, 2, 6},
                     .is_data = false,
                     .expected = stream_verdict::outdated,
                     .moves = false},
        verdict_case{.name = "message of an earlier session",
                     .next = {100, 1, 50},
                     .expected = stream_verdict::outdated,
                     .moves = false},
        verdict_case{.name = "sender lost the link",
                     .next = {100, 3, 1},
                     .expected = stream_verdict::resumed},
        verdict_case{
            .name = "sender restarted", .next = {101, 0, 1}, .expected = stream_verdict::restarted},
        verdict_case{.name = "sender restarted and its clock stepped back",
                     .next = {99, 0, 1},
                     .expected = stream_verdict::restarted},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        stream_check check;
        REQUIRE(check.check(last, true) == stream_verdict::in_order);
        CHECK(check.check(item.next, item.is_data) == item.expected);
        auto following = item.moves ? item.next : last;
        ++following.sequence;
        CHECK(check.check(following, true) == stream_verdict::in_order);
    }
}

// Guards against a link that stays interrupted: after a loss on this side any message may come
// first.
TEST_CASE("after a reset the next message is in order wherever it stands") {
    constexpr std::array cases{stream_position{100, 2, 9}, stream_position{100, 1, 3},
                               stream_position{99, 0, 0}};
    for (const auto& next : cases) {
        CAPTURE(next.sequence);
        stream_check check;
        REQUIRE(check.check(last, true) == stream_verdict::in_order);
        check.reset();
        CHECK(check.check(next, true) == stream_verdict::in_order);
    }
}

} // namespace
} // namespace hawthornstall::net
