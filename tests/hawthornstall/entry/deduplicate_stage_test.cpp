#include "hawthornstall/entry/deduplicate_stage.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>
#include <variant>

namespace hawthornstall::entry {
namespace {

arrived_job make_arrival(std::string_view key, std::string_view payload) {
    arrived_job arrived;
    if (!key.empty()) {
        arrived.request.id = core::submission_id{.zone = "z", .key = std::string{key}};
    }
    arrived.request.tasks = {{.payload = std::string{payload}}};
    return arrived;
}

enum class expected_kind : std::uint8_t { joined, recorded, fresh };

struct arrival_case {
    std::string_view name;
    std::string_view key;
    std::string_view payload;
    expected_kind expected;
};

// Guards against a submission that runs twice because it is resubmitted while it is in progress,
// and against a caller that gets the answer to other content under the same identifier.
TEST_CASE("only a resubmission with the same content joins the job in progress") {
    constexpr std::array cases{
        arrival_case{"same content: join", "k", "p", expected_kind::joined},
        arrival_case{"other content: refuse", "k", "q", expected_kind::recorded},
        arrival_case{"request without identifier: new job", "", "p", expected_kind::fresh},
    };
    const std::array<std::string, 3> replicas{"h1", "h2", "h3"};
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const journal::owner_log log{{}, {}, replicas};
        const journal::submission_table table{log, {}};
        open_jobs jobs;
        const deduplicate_stage deduplicate{jobs, table, "h1/5/"};
        open_job running;
        const auto first = make_arrival("k", "p");
        running.submission = journal::key_of(*first.request.id);
        running.digest = journal::digest_of(first.request);
        const auto number = jobs.add(std::move(running));

        const auto result = deduplicate(make_arrival(item.key, item.payload), {});
        REQUIRE(result.index() == static_cast<std::size_t>(item.expected));
        if (const auto* const joined = std::get_if<joined_job>(&result)) {
            CHECK(joined->number == number);
        } else if (const auto* const recorded = std::get_if<recorded_job>(&result)) {
            CHECK(recorded->answer.outcome == core::outcome_class::refused_not_run);
        } else if (const auto* const fresh = std::get_if<new_job>(&result)) {
            CHECK(fresh->job.id_text == "h1/5/2");
            CHECK(fresh->job.results.size() == 1);
        }
    }
}

} // namespace
} // namespace hawthornstall::entry
