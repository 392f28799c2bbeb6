#include "hawthornstall/control/entry_message_layouts.hpp"
#include "hawthornstall/discovery/announcement_relay.hpp"
#include "hawthornstall/runs/capacity_pool.hpp"
#include "hawthornstall/runs/target_holder.hpp"
#include "hawthornstall/wire/codec.hpp"
#include "platform/announcement_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::platform {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);
constexpr core::time_ms wall_time = core::from_count(1'790'000'000'000);
constexpr std::int64_t valid_cpu_millis = 16'000;

std::string repeated(std::string_view unit, std::size_t times) {
    std::string text;
    for (std::size_t count = 0; count < times; ++count) {
        text += unit;
    }
    return text;
}

/// Heartbeat of a valid target whose address ends in `number`.
std::string valid_body(int number) {
    return R"({"service":"huvo11a","address":"10.128.0.)" + std::to_string(number) +
           R"(:8080","zone":"bc-south-a","version":"v1","slots":8,"state":"ready",)"
           R"("cold_remaining_ms":0,"born":1700000000000,)"
           R"("capacity":{"cpu":16000,"requested_memory_mb":32768,"gpu":0},)"
           R"("labels":["a","r1-3"],"clock_ms":482113,"sequence":4})";
}

/// Heartbeat of the target at 10.128.0.9 with `from` replaced.
std::string with_replaced(std::string_view from, std::string_view to) {
    auto changed = valid_body(9);
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

struct unusual_case {
    std::string_view name;
    std::string body;
};

// Guards against a limit that keeps out a target whose values are valid.
TEST_CASE("a heartbeat with unusual but valid values names a target") {
    constexpr std::string_view address = R"("10.128.0.9:8080")";
    const std::array cases{
        unusual_case{"largest port", with_replaced(address, R"("10.128.0.9:65535")")},
        unusual_case{"smallest port", with_replaced(address, R"("10.128.0.9:1")")},
        unusual_case{"IPv6 address", with_replaced(address, R"("[2001:db8::9]:8080")")},
        unusual_case{"loopback address", with_replaced(address, R"("127.0.0.1:8080")")},
        unusual_case{"no start time", with_replaced(R"("born":1700000000000,)", "")},
        unusual_case{"no labels", with_replaced(R"("labels":["a","r1-3"],)", "")},
        unusual_case{"no accelerators", with_replaced(R"(,"gpu":0)", "")},
        unusual_case{"only the required fields",
                     R"({"service":"s","address":"10.128.0.9:8080","zone":"z","state":"ready",)"
                     R"("capacity":{"cpu":1},"sequence":1})"},
        unusual_case{"fractional remaining time while draining",
                     with_replaced(R"("ready")", R"("draining","remaining_ms":12.5)")},
        unusual_case{"negative remaining slowness",
                     with_replaced(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":-1)")},
        unusual_case{"labels that are not ASCII", with_replaced(R"("r1-3")", R"("r\u00e91")")},
        unusual_case{"a large unknown field",
                     with_replaced(R"("slots":8)",
                                   R"("slots":8,"x":")" + std::string(1'000'000, 'x') + '"')},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        CHECK(decode_announcement("i-7f3a91c2", item.body).ok());
    }
}

struct odd_case {
    std::string_view name;
    std::string body;
    std::string id{"i-odd"};
};

std::vector<odd_case> odd_cases() {
    constexpr std::string_view born = R"("born":1700000000000)";
    constexpr std::string_view sequence = R"("sequence":4)";
    constexpr std::string_view cpu = R"("cpu":16000)";
    constexpr std::string_view address = R"("10.128.0.9:8080")";
    constexpr std::string_view labels = R"(["a","r1-3"])";
    constexpr std::size_t deep = 1'000'000;
    return {
        {"open arrays", repeated("[", 4 * deep)},
        {"open objects", repeated(R"({"a":)", deep)},
        {"nested arrays in an unknown field",
         with_replaced(sequence, R"("x":)" + repeated("[", deep) + repeated("]", deep) + ',' +
                                     std::string{sequence})},
        {"nested arrays in a known field",
         with_replaced(labels, repeated("[", deep) + repeated("]", deep))},
        {"nested objects in the capacity",
         with_replaced(cpu, R"("cpu":)" + repeated(R"({"a":)", deep) + "1" + repeated("}", deep))},
        {"more labels than a message may have",
         with_replaced(labels, "[" + repeated(R"("",)", 5 * deep / 4) + R"(""])")},
        {"a long label", with_replaced(R"("r1-3")", '"' + std::string(4 * deep, 'r') + '"')},
        {"start time above the range of Unix milliseconds",
         with_replaced(born, R"("born":99999999999999)")},
        {"start time of 2^64-1", with_replaced(born, R"("born":18446744073709551615)")},
        {"start time of 2^64", with_replaced(born, R"("born":18446744073709551616)")},
        {"start time of another type", with_replaced(born, R"("born":"1700000000000")")},
        {"sequence of 2^63", with_replaced(sequence, R"("sequence":9223372036854775808)")},
        {"sequence of 2^64-1", with_replaced(sequence, R"("sequence":18446744073709551615)")},
        {"sequence of 2^64", with_replaced(sequence, R"("sequence":18446744073709551616)")},
        {"sequence of 1e400", with_replaced(sequence, R"("sequence":1e400)")},
        {"sequence that is negative", with_replaced(sequence, R"("sequence":-1)")},
        {"sequence that is no number", with_replaced(sequence, R"("sequence":NaN)")},
        {"processor capacity of 2^63-1", with_replaced(cpu, R"("cpu":9223372036854775807)")},
        {"processor capacity of 2^63", with_replaced(cpu, R"("cpu":9223372036854775808)")},
        {"processor capacity of 2^64-1", with_replaced(cpu, R"("cpu":18446744073709551615)")},
        {"processor capacity that is negative", with_replaced(cpu, R"("cpu":-16000)")},
        {"processor capacity of 1e300", with_replaced(cpu, R"("cpu":1e300)")},
        {"memory of 2^63", with_replaced(":32768", ":9223372036854775808")},
        {"accelerators of 2^63", with_replaced(R"("gpu":0)", R"("gpu":9223372036854775808)")},
        {"capacity that is a list",
         with_replaced(R"({"cpu":16000,"requested_memory_mb":32768,"gpu":0})", "[16000,32768,0]")},
        {"port 0", with_replaced(address, R"("10.128.0.9:0")")},
        {"port 65536", with_replaced(address, R"("10.128.0.9:65536")")},
        {"port 99999999999", with_replaced(address, R"("10.128.0.9:99999999999")")},
        {"port -1", with_replaced(address, R"("10.128.0.9:-1")")},
        {"no port", with_replaced(address, R"("10.128.0.9")")},
        {"empty port", with_replaced(address, R"("10.128.0.9:")")},
        {"no address", with_replaced(address, R"("")")},
        {"host name", with_replaced(address, R"("minion.example:8080")")},
        {"address with a zero byte", with_replaced(address, R"("10.128.0.9\u0000x:8080")")},
        {"address with a line break", with_replaced(address, R"("10.128.0.9:8080\r\nA: b")")},
        {"long address", with_replaced(address, '"' + std::string(deep, '1') + R"(:8080")")},
        {"empty service", with_replaced(R"("huvo11a")", R"("")")},
        {"long service", with_replaced(R"("huvo11a")", '"' + std::string(deep, 's') + '"')},
        {"long zone", with_replaced(R"("bc-south-a")", '"' + std::string(deep, 'z') + '"')},
        {"zone that is not UTF-8", with_replaced(R"("bc-south-a")", "\"\xff\xfe\"")},
        {"slots of another type", with_replaced(R"("slots":8)", R"("slots":"8")")},
        {"version of another type", with_replaced(R"("v1")", "1")},
        {"clock of another type", with_replaced(R"("clock_ms":482113)", R"("clock_ms":[1])")},
        {"empty id", valid_body(9), ""},
        {"long id", valid_body(9), std::string(5'000, 'i')},
        {"id that is not ASCII", valid_body(9), "i-\xff"},
        {"id with a line break", valid_body(9), "i-1\r\nA: b"},
        {"id with a separator", valid_body(9), "i-1/i-2"},
    };
}

// Guards against an entry from another writer that is taken for a target: a start time or sequence
// that is too large hides the later announcements of its id or address.
TEST_CASE("a heartbeat with a value out of range names no target") {
    for (const auto& item : odd_cases()) {
        CAPTURE(item.name);
        CHECK_FALSE(decode_announcement(item.id, item.body).ok());
    }
}

/// Directory of an entry host after the messages of a control host that got `announcements`.
discovery::target_directory
relayed(const std::vector<absl::StatusOr<discovery::target_record>>& announcements) {
    discovery::announcement_relay relay;
    relay.hello({.name = "10.0.0.1:7000", .zone = "bc-south-a", .weight = 1.0});
    for (const auto& announcement : announcements) {
        if (announcement.ok()) {
            relay.announce(*announcement, start_time);
        }
    }
    discovery::target_directory directory;
    for (const auto& message : relay.tick(start_time, {"10.0.0.2:7001"})) {
        const auto bytes = std::visit(
            [](const auto& content) { return wire::encode(control::control_to_entry{content}); },
            message.content);
        const auto decoded = wire::decode<control::control_to_entry>(bytes);
        REQUIRE(decoded.ok());
        if (const auto* const updates = std::get_if<discovery::target_updates>(&*decoded)) {
            for (const auto& record : updates->targets) {
                directory.announce(record, start_time);
            }
        }
    }
    return directory;
}

/// Capacity that a scheduler counts when all targets of `directory` are usable.
std::int64_t usable_cpu_millis(const discovery::target_directory& directory) {
    runs::target_report report;
    for (const auto& record : directory.targets()) {
        report.targets.push_back({.id = record.id,
                                  .service = record.service,
                                  .capacity = record.capacity,
                                  .usable = true});
    }
    runs::capacity_pool pool;
    pool.report("10.0.0.1:7000", report, start_time);
    return pool.usable_cpu_millis("huvo11a");
}

// Guards against one odd entry that hides the other targets from the hosts that read the list, or
// falsifies the capacity of their service.
TEST_CASE("the other targets hold beside an odd heartbeat") {
    constexpr core::duration_ms startup{2'000};
    for (const auto& item : odd_cases()) {
        CAPTURE(item.name);
        const auto directory = relayed(
            {decode_announcement("i-1", valid_body(1)), decode_announcement(item.id, item.body),
             decode_announcement("i-9", valid_body(9)), decode_announcement("i-2", valid_body(2))});
        runs::target_holder holder{{}, 1, start_time};
        const runs::host_membership hosts{{.host = {.name = "10.0.0.1:7000"}}};
        holder.tick(directory, hosts, start_time + startup, wall_time);
        for (const std::string id : {"i-1", "i-2", "i-9"}) {
            CAPTURE(id);
            CHECK(directory.find(id) != nullptr);
            CHECK(holder.find(id) != nullptr);
        }
        CHECK(holder.take_effects().calls.size() == 3);
        CHECK(usable_cpu_millis(directory) == 3 * valid_cpu_millis);
    }
}

} // namespace
} // namespace hawthornstall::platform
