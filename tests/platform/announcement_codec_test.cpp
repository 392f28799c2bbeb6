#include "platform/announcement_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::platform {
namespace {

const std::string good =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"bc-south-a","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,"born":1700000000000,)"
    R"("capacity":{"cpu":16000,"requested_memory_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("clock_ms":482113,"sequence":4})";

std::string with(std::string_view from, std::string_view to) {
    auto changed = good;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

// Guards against fields that are lost or read in a wrong unit.
TEST_CASE("a heartbeat is read whole") {
    const auto record = decode_announcement("i-7", good);
    REQUIRE(record.ok());
    CHECK(*record == discovery::target_record{
                         .id = "i-7",
                         .incarnation = 1'700'000'000'000,
                         .sequence = 4,
                         .service = "huvo11a",
                         .address = "10.128.0.9:8080",
                         .zone = "bc-south-a",
                         .labels = {"a", "r1-3"},
                         .capacity = {.cpu_millis = 16'000, .memory_mb = 32'768, .accelerators = 0},
                         .draining = false});
    const auto draining = decode_announcement("i-7", with(R"("ready")", R"("draining")"));
    REQUIRE(draining.ok());
    CHECK(draining->draining);
}

// Guards against a heartbeat of another writer that makes a target usable or ends the process.
TEST_CASE("a heartbeat with a wrong field names no target") {
    const std::array bodies{
        with(R"("ready")", R"("resting")"),
        with(R"("sequence":4)", R"("sequence":"4")"),
        with(R"("sequence":4)", R"("other":4)"),
        with(R"("address":"10.128.0.9:8080")", R"("address":7)"),
        with(R"("labels":["a","r1-3"])", R"("labels":[1])"),
        with(R"("cpu":16000)", R"("cpu":-1)"),
        with(R"("born":1700000000000)", R"("born":1.5)"),
        std::string{"\xff\xfe"},
        std::string{"[]"},
        std::string{},
    };
    for (const auto& body : bodies) {
        CAPTURE(body);
        CHECK_FALSE(decode_announcement("i-7", body).ok());
    }
}

} // namespace
} // namespace hawthornstall::platform
