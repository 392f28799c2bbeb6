#include "hawthornstall/runs/message_packing.hpp"
#include "hawthornstall/runs/run_layouts.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {
namespace {

constexpr std::string_view specification = "a specification of some length";

grant_run make_grant(std::uint64_t submission, std::uint64_t key, const std::string& holder) {
    return {.number = submission,
            .key = key,
            .holder = holder,
            .target = "w-" + std::to_string(key),
            .step = 1,
            .index = static_cast<std::uint32_t>(key),
            .run = 2};
}

start_run make_start(std::uint64_t submission, std::uint64_t key) {
    return {.scheduler = "s",
            .key = key,
            .target = "w-" + std::to_string(key),
            .run = {.task = {"job-" + std::to_string(submission), 1, 3}, .number = 2},
            .specification = std::string{specification},
            .resources = {.cpu_millis = 500},
            .submission = submission,
            .caller_leaves_at = core::from_count(77)};
}

std::string pack(const std::vector<run_message>& messages) {
    return pack_messages(messages, [](std::size_t, std::size_t, std::size_t) {});
}

std::size_t count(std::string_view text, std::string_view part) {
    std::size_t found = 0;
    for (auto at = text.find(part); at != std::string_view::npos; at = text.find(part, at + 1)) {
        ++found;
    }
    return found;
}

struct packing_case {
    std::string_view name;
    std::vector<run_message> messages;
    std::size_t specifications = 0; ///< How many times the specification is encoded.
};

// Guards against a start of one job with the specification, the caller or the resources of another,
// against a changed order, and against a specification that is sent once for each task.
TEST_CASE("packed messages are the same after unpacking") {
    auto other_scheduler = make_start(1, 8);
    other_scheduler.scheduler = "t";
    auto other_resources = make_start(1, 8);
    other_resources.resources = {.cpu_millis = 700};
    auto other_caller = make_start(1, 8);
    other_caller.caller_leaves_at = core::from_count(78);
    const std::array cases{
        packing_case{"nothing", {}, 0},
        packing_case{"other messages", {cancel_job{.number = 4}, revoke_runs{.last_key = 5}}, 0},
        packing_case{
            "starts of one job", {make_start(1, 7), make_start(1, 8), make_start(1, 12)}, 1},
        packing_case{"starts of two jobs", {make_start(1, 7), make_start(2, 8)}, 2},
        packing_case{"keys that do not rise", {make_start(1, 7), make_start(1, 6)}, 2},
        packing_case{"two schedulers", {make_start(1, 7), other_scheduler}, 2},
        packing_case{"two steps", {make_start(1, 7), other_resources}, 2},
        packing_case{"two deadlines", {make_start(1, 7), other_caller}, 2},
        packing_case{"a stop between starts",
                     {make_start(1, 7), stop_submission{.number = 1}, make_start(1, 8)},
                     2},
        packing_case{"grants of one job for two holders",
                     {make_grant(1, 7, "h"), make_grant(1, 8, "g"), make_grant(1, 9, "h")},
                     0},
        packing_case{"grants of two jobs", {make_grant(1, 7, "h"), make_grant(2, 8, "h")}, 0},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto bytes = pack(item.messages);
        CHECK(count(bytes, specification) == item.specifications);
        const auto unpacked = unpack_messages(bytes);
        REQUIRE(unpacked.ok());
        // The plain encoding covers all members of all messages.
        CHECK(wire::encode(*unpacked) == wire::encode(item.messages));
    }
}

// Guards against counts of traffic that leave messages out.
TEST_CASE("each packed message is counted with its kind") {
    std::size_t starts = 0;
    std::size_t grants = 0;
    std::size_t others = 0;
    std::size_t total_bytes = 0;
    const std::vector<run_message> messages{make_start(1, 7), make_start(1, 8),
                                            make_grant(1, 9, "h"), cancel_job{.number = 4}};
    const auto bytes =
        pack_messages(messages, [&](std::size_t kind, std::size_t number, std::size_t size) {
            (kind == messages[0].index()   ? starts
             : kind == messages[2].index() ? grants
                                           : others) += number;
            total_bytes += size;
        });
    CHECK(starts == 2);
    CHECK(grants == 1);
    CHECK(others == 1);
    CHECK(total_bytes + 1 == bytes.size()); // One byte holds the length of the list.
}

// Guards against a host that ends because of a malformed message.
TEST_CASE("malformed lists are refused") {
    const auto whole = pack({make_grant(1, 7, "h"), make_start(1, 7)});
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(unpack_messages(std::string_view{whole}.substr(0, length)).ok());
    }
}

} // namespace
} // namespace hawthornstall::runs
