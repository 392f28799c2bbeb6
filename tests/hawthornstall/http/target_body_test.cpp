#include "hawthornstall/http/admin_body.hpp"
#include "hawthornstall/http/target_body.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace hawthornstall::http {
namespace {

const core::target_announcement minion{.name = "minion-1",
                                       .incarnation = UINT64_MAX,
                                       .sequence = 7,
                                       .zone = "bilbao",
                                       .rack = "r1",
                                       .address = "10.0.0.1:8080",
                                       .services = {"draws", "floats"},
                                       .capacity = {.slots = 8, .connections = 60},
                                       .lease = core::duration_ms{3000},
                                       .leaving = false};

// Guards against announcements that lose fields or the precision of numbers.
TEST_CASE("announcements survive encoding and decoding") {
    core::target_announcement worker{minion};
    worker.capacity = {.cores = 60, .memory_mb = 250'000, .accelerators = 2};
    worker.leaving = true;
    for (const auto& sample : {minion, worker}) {
        const auto body = encode_target_announcement(sample);
        REQUIRE(body.ok());
        const auto decoded = decode_target_announcement(*body);
        REQUIRE(decoded.ok());
        CHECK(*decoded == sample);
        const auto leave = decode_target_leave(*body);
        REQUIRE(leave.ok());
        CHECK(leave->leaving);
    }
}

struct announcement_case {
    std::string replaced; ///< Part of a valid body.
    std::string replacement;
    std::string message; ///< Empty when the body is accepted.
};

// Guards against a target that is registered with values it did not announce.
TEST_CASE("faulty announcements are refused with the path of the fault") {
    const std::string valid = R"({"name":"m","incarnation":1,"sequence":2,"zone":"z",)"
                              R"("address":"127.0.0.1:1","services":["s"],)"
                              R"("capacity":{"slots":8},"lease_ms":3000})";
    const std::array cases{
        announcement_case{"{\"name\"", "{\"added_later\":1,\"name\"", ""},
        announcement_case{R"("name":"m")", R"("name":"")", "name: must have 1 to 200 bytes"},
        announcement_case{R"("name":"m")", R"("nome":"m")", "name: is missing"},
        announcement_case{"\"incarnation\":1", "\"incarnation\":-1",
                          "incarnation: must be a whole number of 0 to 18446744073709551615"},
        announcement_case{R"(["s"])", R"(["s",""])", "services[1]: must have 1 to 200 bytes"},
        announcement_case{R"({"slots":8})", "8", "capacity: must be an object"},
        announcement_case{R"({"slots":8})", R"({"slots":4294967296})",
                          "capacity.slots: must be a whole number of 0 to 4294967295"},
        announcement_case{"3000", "0", "lease_ms: must be a whole number of 100 to 60000"},
    };
    for (const auto& test : cases) {
        auto body = valid;
        body.replace(body.find(test.replaced), test.replaced.size(), test.replacement);
        CAPTURE(body);
        const auto decoded = decode_target_announcement(body);
        CHECK(decoded.ok() == test.message.empty());
        CHECK(std::string{decoded.status().message()} == test.message);
    }
}

struct name_length_case {
    std::size_t bytes;
    bool accepted;
};

// Guards against a service that a target may announce but that a caller cannot name.
TEST_CASE("the name of a service has the same limits in every body") {
    constexpr std::array cases{name_length_case{0, false},  name_length_case{1, true},
                               name_length_case{128, true}, name_length_case{129, true},
                               name_length_case{200, true}, name_length_case{201, false}};
    for (const auto& test : cases) {
        CAPTURE(test.bytes);
        const std::string name(test.bytes, 's');
        auto announcement = minion;
        announcement.services = {name};
        const auto body = encode_target_announcement(announcement);
        REQUIRE(body.ok());
        CHECK(decode_target_announcement(*body).ok() == test.accepted);
        CHECK(decode_service_name(R"({"service":")" + name + R"("})").ok() == test.accepted);
    }
}

} // namespace
} // namespace hawthornstall::http
