#include "hawthornstall/discovery/announcement_relay.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::discovery {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

target_record make_record(const std::string& id, std::uint64_t sequence) {
    return {.id = id,
            .incarnation = 1,
            .sequence = sequence,
            .service = "restock",
            .address = id + ":80",
            .zone = "bilbao",
            .labels = {},
            .capacity = {}};
}

std::vector<target_updates> updates_for(const std::vector<relay_message>& messages,
                                        const std::string& host) {
    std::vector<target_updates> found;
    for (const auto& message : messages) {
        const auto* const updates = std::get_if<target_updates>(&message.content);
        if (message.host == host && updates != nullptr) {
            found.push_back(*updates);
        }
    }
    return found;
}

// Guards against entry hosts that miss the targets which announced themselves before their hello.
TEST_CASE("a new entry host is sent all targets, the others only changes") {
    announcement_relay relay;
    const std::vector<std::string> control{"c"};
    relay.hello({.name = "e-1", .zone = "bilbao"});
    relay.announce(make_record("w-1", 1), start_time);
    auto messages = relay.tick(start_time, control);
    REQUIRE(updates_for(messages, "e-1").size() == 1);
    CHECK(updates_for(messages, "e-1")[0].targets.size() == 1);

    relay.hello({.name = "e-2", .zone = "bilbao"});
    relay.announce(make_record("w-2", 1), start_time);
    messages = relay.tick(start_time + update_interval, control);
    REQUIRE(updates_for(messages, "e-1").size() == 1);
    CHECK(updates_for(messages, "e-1")[0].targets.size() == 1);
    REQUIRE(updates_for(messages, "e-2").size() == 1);
    CHECK(updates_for(messages, "e-2")[0].targets.size() == 2);
}

// Guards against unreachable hosts that stay in the host list, and against departures that are not
// forwarded.
TEST_CASE("departures and lost hosts are forwarded") {
    announcement_relay relay;
    relay.hello({.name = "e-1", .zone = "bilbao"});
    relay.hello({.name = "e-2", .zone = "bilbao"});
    relay.announce(make_record("w-1", 1), start_time);
    (void)relay.tick(start_time, {});
    relay.leave("w-1", 0, start_time);
    relay.unreachable("e-2");
    const auto messages = relay.tick(start_time + update_interval, {});
    REQUIRE(updates_for(messages, "e-1").size() == 1);
    CHECK(updates_for(messages, "e-1")[0].departed.size() == 1);
    CHECK(updates_for(messages, "e-2").empty());
    const auto* const list = std::get_if<host_list>(&messages.front().content);
    REQUIRE(list != nullptr);
    CHECK(list->entry_hosts.size() == 1);
}

struct departure_case {
    std::string_view name;
    std::uint64_t incarnation = 0;
    bool forwarded = false;
};

// Guards against a late departure that hides a target which has started again under the same id.
TEST_CASE("a departure applies to the known and to later incarnations") {
    constexpr std::uint64_t known = 5;
    const std::array cases{
        departure_case{"unknown incarnation", 0, true},
        departure_case{"earlier incarnation", known - 1, false},
        departure_case{"known incarnation", known, true},
        departure_case{"later incarnation", known + 1, true},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        announcement_relay relay;
        relay.hello({.name = "e-1", .zone = "bilbao"});
        auto record = make_record("w-1", 1);
        record.incarnation = known;
        relay.announce(record, start_time);
        (void)relay.tick(start_time, {});
        relay.leave("w-1", item.incarnation, start_time);
        CHECK((relay.directory().find("w-1") == nullptr) == item.forwarded);
        const auto updates = updates_for(relay.tick(start_time + update_interval, {}), "e-1");
        target_directory receiver;
        receiver.announce(record, start_time);
        for (const auto& update : updates) {
            for (const auto& departed : update.departed) {
                receiver.leave(departed, start_time);
            }
        }
        CHECK((receiver.find("w-1") == nullptr) == item.forwarded);
    }
}

} // namespace
} // namespace hawthornstall::discovery
