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

// Guards against members that are lost, swapped or changed between encoding and decoding.
TEST_CASE("a decoded message equals the encoded one") {
    for (const auto& sample : samples) {
        const auto decoded = decode<outer>(encode(sample));
        REQUIRE(decoded.ok());
        CHECK(*decoded == sample);
    }
}

// Guards against crashes on corrupt input, and against decoding only a part of it: each truncated
// message and each message with trailing or invalid bytes must be an error.
TEST_CASE("corrupt messages are refused") {
    const std::string complete = encode(samples[1]);
    for (std::size_t length = 0; length < complete.size(); ++length) {
        CAPTURE(length);
        CHECK_FALSE(decode<outer>(std::string_view{complete}.substr(0, length)).ok());
    }
    const std::array<std::string, 6> corrupt{
        complete + "x",
        encode(std::string{"not an array"}),
        // Array header that announces 2^32 - 1 elements.
        std::string("\xdd\xff\xff\xff\xff", 5),
        // Four million nested arrays, and as many nested maps.
        std::string(4'000'000, '\x91'),
        std::string(4'000'000, '\x81'),
        // Enumeration value beyond the last one.
        std::string("\x95\x00\x90\xc0\x92\x00\x01\x09", 8),
    };
    for (const auto& bytes : corrupt) {
        CHECK_FALSE(decode<outer>(bytes).ok());
    }
}

// Guards against failures during a rolling upgrade: hosts of the old and the new version must
// decode each other's messages.
TEST_CASE("messages with and without trailing members decode as each other") {
    const auto upgraded = decode<outer>(encode(outer_v1{9, {{"a", {}}}}));
    REQUIRE(upgraded.ok());
    CHECK(*upgraded == outer{9, {{"a", {}}}, std::nullopt, 0, colour::red});
    const auto downgraded = decode<outer_v1>(encode(samples[1]));
    REQUIRE(downgraded.ok());
    CHECK(downgraded->number == 7);
}

} // namespace
} // namespace hawthornstall::wire
