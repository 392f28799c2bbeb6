#include "hawthornstall/settings/json_document.hpp"
#include "hawthornstall/settings/problem_lines.hpp"
#include "hawthornstall/settings/service_document_json.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::settings {
namespace {

std::string with_members(std::string_view members) {
    return R"({"service":"draws","team":"prizes")" + std::string{members} + "}";
}

// Guards against a field that is lost or changed when a document is written as JSON and parsed
// again, so that an edit is stored with other values than the team submitted.
TEST_CASE("a service document is unchanged after it is encoded and parsed") {
    core::service_document plain;
    plain.service = "draws";
    plain.team = "prizes";
    auto changed = plain;
    changed.version = 17;
    changed.model = core::capacity_model::worker;
    changed.order = core::queue_order::fair_share;
    changed.task = {4, 2048, 1, core::duration_ms{250}};
    changed.accepts = {10, 1024, 2048, {"front-desk", "van_4"}};
    changed.terms = {core::duration_ms{500}, core::duration_ms{900}};
    changed.retry = {5, 2, true, true};
    changed.quota = {50, 20};
    for (const auto& document : {plain, changed}) {
        const auto parsed = parse_service_document(to_json(document));
        REQUIRE(parsed.ok());
        CHECK(*parsed == document);
    }
    CHECK(parse_service_document(with_members("")).ok());
}

struct problem_case {
    std::string_view name;
    std::string text;
    std::vector<std::string> problems; ///< Complete list, in order.
};

std::string out_of_range(std::string_view path, std::string_view range, std::string_view found) {
    return std::string{path}.append(": expected ").append(range).append(", found ").append(found);
}

const std::array problem_cases{
    problem_case{
        "several problems at once",
        R"({"team":"a b","version":-1,"order":"random","tasks":{},)"
        R"("accepts":{"max_tasks_per_job":0,"callers":["a","a",3]},"terms":[]})",
        {"$.service: missing; expected 1 to 64 letters, digits, '-' or '_'",
         "$.team: expected 1 to 64 letters, digits, '-' or '_', found a value of type string",
         "$.version: expected a whole number from 0 to 9223372036854775807, found -1",
         out_of_range("$.order", "one of first_in_first_out, fair_share, fewest_remaining",
                      "a value of type string"),
         out_of_range("$.accepts.max_tasks_per_job", "a whole number from 1 to 10000 tasks", "0"),
         "$.accepts.callers[1]: occurs more than once in the array",
         "$.accepts.callers[2]: expected 1 to 64 letters, digits, '-' or '_', found 3",
         "$.terms: expected an object, found an array of 0 elements", "$.tasks: unknown key"}},
    problem_case{
        "fraction and overflow",
        with_members(R"(,"quota":{"max_queued_tasks":1.5,"max_running_tasks":1e30})"),
        {out_of_range("$.quota.max_queued_tasks", "a whole number from 1 to 10000000 tasks", "1.5"),
         out_of_range("$.quota.max_running_tasks", "a whole number from 1 to 10000000 tasks",
                      "1e+30")}},
    problem_case{"conflicting times",
                 with_members(R"(,"terms":{"default_deadline_ms":2000,"max_deadline_ms":100})"),
                 {"$.terms.default_deadline_ms: must not exceed $.terms.max_deadline_ms (100 ms)",
                  "$.task.expected_run_time_ms: must not exceed $.terms.max_deadline_ms (100 ms)"}},
    problem_case{
        "no conflict is reported for an invalid value",
        with_members(R"(,"terms":{"default_deadline_ms":90000,"max_deadline_ms":0})"),
        {"$.terms.max_deadline_ms: expected a whole number from 1 to 3600000 ms, found 0"}},
    problem_case{"conflicting sizes",
                 with_members(R"(,"accepts":{"max_payload_bytes":16777216},)"
                              R"("quota":{"max_queued_tasks":689})"),
                 {"$.accepts.max_payload_bytes: multiplied by $.accepts.max_tasks_per_job must not "
                  "exceed 62914560 bytes",
                  "$.quota.max_queued_tasks: must not be below $.accepts.max_tasks_per_job (690 "
                  "tasks)"}},
    problem_case{"conflicting retries",
                 with_members(R"(,"retry":{"max_attempts":1,"hedge":true})"),
                 {"$.retry.hedge: needs $.retry.max_attempts of at least 2 and "
                  "$.retry.budget_percent of at least 1"}},
    problem_case{"capacity model",
                 with_members(R"(,"task":{"accelerators":1})"),
                 {"$.task.accelerators: must be 0 for model minion, which has only slots"}},
    problem_case{"duplicate key",
                 with_members(R"(,"accepts":{"callers":[]},"team":"other")"),
                 {"$.team: key occurs more than once in the object"}},
    problem_case{
        "forged report line", with_members(R"(,"a\n$.b: c":1)"), {"$.a???b??c: unknown key"}},
    problem_case{"malformed",
                 "{\n\"service\": secret}",
                 {"$: malformed JSON at line 2, byte 14 of the document"}},
    problem_case{"other root", "[]", {"$: expected an object, found a value of type array"}},
    problem_case{"too large",
                 std::string(max_document_bytes + 1, ' '),
                 {"$: document has 1048577 bytes; expected at most 1048576"}},
    problem_case{"too deep",
                 with_members(",\"a\":" + std::string(500'000, '[')),
                 {"$.a[0][0][0][0][0][0][0][0][0][0][0][0][0][0][0]: nested more deeply than 16 "
                  "levels"}},
    problem_case{"invalid UTF-8",
                 with_members(",\"a\":\"\xff\""),
                 {"$: malformed JSON at line 1, byte 41 of the document"}},
};

// Guards against a check that stops at the first problem, so that an operator has to correct them
// one at a time, and against a large, deeply nested or malformed document that harms a host.
TEST_CASE("every problem of a document is reported with its path and range") {
    for (const auto& test : problem_cases) {
        CAPTURE(test.name);
        const auto parsed = parse_service_document(test.text);
        REQUIRE(parsed.status().code() == absl::StatusCode::kInvalidArgument);
        CHECK(problem_lines(parsed.status()) == test.problems);
    }
}

// Guards against an answer that is larger than the hostile document that caused it.
TEST_CASE("the number of reported problems is bounded") {
    std::string members;
    for (int key = 0; key < 5000; ++key) {
        members += ",\"k" + std::to_string(key) + "\":0";
    }
    const auto lines = problem_lines(parse_service_document(with_members(members)).status());
    CHECK(lines.size() == problem_list::max_kept + 1);
    CHECK(lines.back() == "and 4900 more problems");
}

struct problem_count_case {
    std::string_view name;
    std::size_t invalid_callers; ///< Problems that are found before those of `terms`.
    std::string_view terms;
    std::string last_line;
};

// Guards against a number of further problems that includes conflicts which only follow from an
// invalid value, when the problem with that value is no longer kept.
TEST_CASE("only conflicts between valid values are counted, also beyond the kept problems") {
    constexpr std::string_view invalid = R"({"default_deadline_ms":90000,"max_deadline_ms":0})";
    constexpr std::string_view conflicting =
        R"({"default_deadline_ms":2000,"max_deadline_ms":100})";
    const std::array cases{
        problem_count_case{
            "the invalid value is the last kept problem", 99, invalid,
            out_of_range("$.terms.max_deadline_ms", "a whole number from 1 to 3600000 ms", "0")},
        problem_count_case{"the invalid value is the first dropped problem", 100, invalid,
                           "and 1 more problems"},
        problem_count_case{"several dropped problems", 150, invalid, "and 51 more problems"},
        problem_count_case{"the values themselves are valid", 100, conflicting,
                           "and 2 more problems"},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        std::string callers{"0"};
        for (std::size_t index = 1; index < test.invalid_callers; ++index) {
            callers += ",0";
        }
        const auto lines = problem_lines(
            parse_service_document(with_members(R"(,"accepts":{"callers":[)" + callers +
                                                R"(]},"terms":)" + std::string{test.terms}))
                .status());
        REQUIRE(lines.size() >= problem_list::max_kept);
        CHECK(lines.back() == test.last_line);
    }
}

} // namespace
} // namespace hawthornstall::settings
