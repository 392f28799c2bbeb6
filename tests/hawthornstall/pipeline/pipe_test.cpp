#include "hawthornstall/pipeline/pipe.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace hawthornstall::pipeline {
namespace {

struct pipe_case {
    int input;
    absl::StatusCode code;
    std::string output;
    int filters_run;
};

// Guards against a filter that still runs after an earlier one has returned an error.
TEST_CASE("a pipe passes each value to the next filter and stops at the first error") {
    const std::array cases{
        pipe_case{1, absl::StatusCode::kOk, "2", 2},
        pipe_case{-1, absl::StatusCode::kInvalidArgument, "", 1},
        pipe_case{100, absl::StatusCode::kResourceExhausted, "", 2},
    };
    for (const auto& test : cases) {
        int filters_run = 0;
        auto pipeline = pipe{
            [&](int value) -> absl::StatusOr<int> {
                ++filters_run;
                if (value < 0) {
                    return absl::InvalidArgumentError("negative");
                }
                return value + 1;
            },
            [&](int value) -> absl::StatusOr<std::string> {
                ++filters_run;
                if (value > 100) {
                    return absl::ResourceExhaustedError("too large");
                }
                return std::to_string(value);
            },
        };
        const auto result = pipeline(test.input);
        CHECK(result.status().code() == test.code);
        CHECK(result.value_or("") == test.output);
        CHECK(filters_run == test.filters_run);
    }
}

} // namespace
} // namespace hawthornstall::pipeline
