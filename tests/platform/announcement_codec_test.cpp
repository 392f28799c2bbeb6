#include "platform/announcement_codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::platform {
namespace {

const std::string valid_body =
    R"({"service":"huvo11a","address":"10.128.0.9:8080","zone":"bc-south-a","version":"v1",)"
    R"("slots":8,"state":"ready","cold_remaining_ms":0,"born":1700000000000,)"
    R"("capacity":{"cpu":16000,"requested_memory_mb":32768,"gpu":0},"labels":["a","r1-3"],)"
    R"("clock_ms":482113,"sequence":4})";

std::string with_replaced(std::string_view from, std::string_view to) {
    auto changed = valid_body;
    changed.replace(changed.find(from), from.size(), to);
    return changed;
}

// Guards against a decoder that drops a field or reads it in the wrong unit.
TEST_CASE("all fields of a heartbeat are decoded") {
    const auto record = decode_announcement("i-7", valid_body);
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
    const auto draining = decode_announcement("i-7", with_replaced(R"("ready")", R"("draining")"));
    REQUIRE(draining.ok());
    CHECK(draining->draining);
    const auto cold = decode_announcement(
        "i-7", with_replaced(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":1200.5)"));
    REQUIRE(cold.ok());
    CHECK(cold->cold_for == core::duration_ms{1'201});
}

// Guards against a malformed heartbeat, such as one from another sender, that registers a target or
// ends the process.
TEST_CASE("a malformed heartbeat is rejected") {
    const std::array bodies{
        with_replaced(R"("ready")", R"("resting")"),
        with_replaced(R"("sequence":4)", R"("sequence":"4")"),
        with_replaced(R"("sequence":4)", R"("other":4)"),
        with_replaced(R"("address":"10.128.0.9:8080")", R"("address":7)"),
        with_replaced(R"("labels":["a","r1-3"])", R"("labels":[1])"),
        with_replaced(R"("cpu":16000)", R"("cpu":-1)"),
        with_replaced(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":"0")"),
        with_replaced(R"("born":1700000000000)", R"("born":1.5)"),
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
