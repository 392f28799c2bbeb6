#include "hawthornstall/core/outcome.hpp"

#include <doctest/doctest.h>

#include <array>

namespace hawthornstall::core {
namespace {

// Guards against an outcome class that shares its name with another one or has no name, so that a
// caller reads a wrong class from the answer.
TEST_CASE("each outcome name parses back to its class") {
    constexpr std::array outcomes{outcome_class::answered, outcome_class::refused_not_run,
                                  outcome_class::failed, outcome_class::may_have_run};
    for (const auto outcome : outcomes) {
        CAPTURE(to_string(outcome));
        CHECK(parse_outcome(to_string(outcome)) == outcome);
    }
    CHECK_FALSE(parse_outcome("unknown").has_value());
}

} // namespace
} // namespace hawthornstall::core
