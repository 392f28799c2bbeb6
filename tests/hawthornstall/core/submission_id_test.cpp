#include "hawthornstall/core/submission_id.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::core {
namespace {

struct id_case {
    std::string_view name;
    std::string text;
    bool valid;
};

const std::array id_cases{
    id_case{"all four parts", "bilbao.1764800000000.1764800001234.order-17", true},
    id_case{"key with underscore", "oviedo.1.2.van_4", true},
    id_case{"empty", "", false},
    id_case{"three parts", "bilbao.1.2", false},
    id_case{"five parts", "bilbao.1.2.key.more", false},
    id_case{"empty zone", ".1.2.key", false},
    id_case{"empty key", "bilbao.1.2.", false},
    id_case{"negative issue time", "bilbao.1.-2.key", false},
    id_case{"generation too large", "bilbao.99999999999999999999999.2.key", false},
    id_case{"control character", "bilbao.1.2.ke\ny", false},
    id_case{"too long", "bilbao.1.2." + std::string(200, 'k'), false},
};

// Guards against an identifier that two hosts read differently. They would not recognise a
// resubmission, and its tasks would run twice.
TEST_CASE("a submission identifier is formatted as it was parsed, or refused") {
    for (const auto& test : id_cases) {
        CAPTURE(test.name);
        const auto id = parse_submission_id(test.text);
        CHECK(id.ok() == test.valid);
        if (id.ok()) {
            CHECK(to_string(*id) == test.text);
        }
    }
}

} // namespace
} // namespace hawthornstall::core
