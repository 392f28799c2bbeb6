#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace hawthornstall::wire {
namespace {

enum class colour : std::uint8_t { red, green };

struct inner {
    std::string name;
    core::time_ms time{};

    bool operator==(const inner&) const = default;
};

struct outer {
    std::uint64_t number = 0;
    std::vector<inner> items;
    std::optional<core::duration_ms> wait;
    std::variant<int, std::string> choice;
    colour tint = colour::red;

    bool operator==(const outer&) const = default;
};

/// Earlier version of `outer`, as a host that has not been upgraded would send it.
struct outer_v1 {
    std::uint64_t number = 0;
    std::vector<inner> items;
};

} // namespace

template <> struct layout<inner> {
    static constexpr auto members = std::tuple{&inner::name, &inner::time};
};

template <> struct layout<outer> {
    static constexpr auto members =
        std::tuple{&outer::number, &outer::items, &outer::wait, &outer::choice, &outer::tint};
};

template <> struct layout<outer_v1> {
    static constexpr auto members = std::tuple{&outer_v1::number, &outer_v1::items};
};

template <> struct layout<colour> { static constexpr colour last = colour::green; };

namespace {

const std::array samples{
    outer{},
    outer{7, {{"a", core::from_count(5)}, {"b", {}}}, core::duration_ms{3}, "text", colour::green},
};

// Guards against fields that change their meaning between two hosts.
TEST_CASE("described messages survive a round trip") {
    for (const auto& sample : samples) {
        const auto decoded = decode<outer>(encode(sample));
        REQUIRE(decoded.ok());
        CHECK(*decoded == sample);
    }
}

// Guards against crashes and half-read messages on damaged input.
TEST_CASE("damaged messages are refused") {
    const std::string whole = encode(samples[1]);
    for (std::size_t length = 0; length < whole.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(decode<outer>(std::string_view{whole}.substr(0, length)).ok());
    }
    const std::array<std::string, 4> damaged{
        whole + "x",
        encode(std::string{"not an array"}),
        // Array header that announces 2^32 - 1 elements.
        std::string("\xdd\xff\xff\xff\xff", 5),
        // Enumeration value beyond the last one.
        std::string("\x95\x00\x90\xc0\x92\x00\x01\x09", 8),
    };
    for (const auto& bytes : damaged) {
        CHECK_FALSE(decode<outer>(bytes).ok());
    }
}

// Guards against a rolling upgrade in which old and new hosts refuse each other's messages.
TEST_CASE("hosts of two versions understand each other") {
    const auto upgraded = decode<outer>(encode(outer_v1{9, {{"a", {}}}}));
    REQUIRE(upgraded.ok());
    CHECK(*upgraded == outer{9, {{"a", {}}}, std::nullopt, 0, colour::red});
    const auto downgraded = decode<outer_v1>(encode(samples[1]));
    REQUIRE(downgraded.ok());
    CHECK(downgraded->number == 7);
}

} // namespace
} // namespace hawthornstall::wire
