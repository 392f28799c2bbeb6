#include "platform/json_fields.hpp"

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <sys/resource.h>

namespace hawthornstall::platform {
namespace {

constexpr std::size_t large_body_bytes = std::size_t{4} * 1024 * 1024;

std::string repeated(std::string_view unit, std::size_t times) {
    std::string text;
    for (std::size_t count = 0; count < times; ++count) {
        text += unit;
    }
    return text;
}

/// Array or object nested `depth` times.
std::string nested(std::string_view open, std::string_view inner, std::string_view close,
                   std::size_t depth) {
    return repeated(open, depth) + std::string{inner} + repeated(close, depth);
}

struct large_case {
    std::string_view name;
    std::string_view before;
    std::string_view unit; ///< Repeated up to large_body_bytes.
    std::string_view after;
};

/// Largest resident size of this process so far, in kilobytes.
long peak_memory_kb() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

// Guards against a body of a few megabytes whose parsed form takes so much memory that the process
// is killed.
TEST_CASE("a large body of small or nested values is refused without building it") {
    constexpr long allowed_growth_kb = 32L * 1024;
    const std::array cases{
        large_case{"open arrays", "", "[", ""},
        large_case{"open objects", "", R"({"a":)", ""},
        large_case{"open arrays in an unknown field", R"({"state":"ready","x":)", "[", ""},
        large_case{"open arrays after a text with a quote", R"({"x":"\"[","y":)", "[", ""},
        large_case{"empty arrays", "[", "[],", "0]"},
        large_case{"empty objects", "[", "{},", "0]"},
        large_case{"empty texts", "[", R"("",)", "0]"},
        large_case{"numbers", "[", "0,", "0]"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto body =
            std::string{item.before} +
            repeated(item.unit, (large_body_bytes - item.before.size()) / item.unit.size()) +
            std::string{item.after};
        const auto before_kb = peak_memory_kb();
        CHECK(parse_json(body).is_discarded());
        CHECK(peak_memory_kb() - before_kb < allowed_growth_kb);
    }
}

struct parse_case {
    std::string_view name;
    std::string body;
    bool accepted = true;
};

// Guards against a limit that refuses valid bodies, and against one that is not enforced.
TEST_CASE("nesting is limited and brackets in texts do not count") {
    const std::array cases{
        parse_case{"arrays as deep as allowed", nested("[", "", "]", max_json_depth)},
        parse_case{"objects as deep as allowed", nested(R"({"a":)", "1", "}", max_json_depth)},
        parse_case{"arrays that are too deep", nested("[", "", "]", max_json_depth + 1), false},
        parse_case{"objects that are too deep", nested(R"({"a":)", "1", "}", max_json_depth + 1),
                   false},
        parse_case{"brackets in a text", R"({"a":")" + repeated("[{", max_json_depth) + R"("})"},
        parse_case{"an escaped quote", R"({"a":"\"\\","b":[1,2]})"},
        parse_case{"a long text", R"({"a":")" + std::string(large_body_bytes, 'a') + R"("})"},
        parse_case{"a number beyond the range of a double", R"({"a":1e400})", false},
        parse_case{"an incomplete text", R"({"a":")", false},
        parse_case{"bytes that are not UTF-8", "{\"a\":\"\xff\xfe\"}", false},
        parse_case{"no text", "", false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        CHECK(parse_json(item.body).is_discarded() == !item.accepted);
    }
}

} // namespace
} // namespace hawthornstall::platform
