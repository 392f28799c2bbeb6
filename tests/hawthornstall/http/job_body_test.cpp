#include "hawthornstall/http/http_status.hpp"
#include "hawthornstall/http/job_body.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>

namespace hawthornstall::http {
namespace {

using core::duration_ms;
using core::outcome_class;

const core::submission_id sample_id{
    .zone = "bilbao", .generation = 3, .issued = core::from_count(1700000000000), .key = "k-1"};

constexpr job_context context{.service = "draws", .caller = "till-7"};

// Guards against fields that are lost or altered between caller and dispatcher.
TEST_CASE("job requests survive encoding and decoding") {
    const std::array samples{
        core::job_request{"draws", "till-7", std::nullopt, false, {}, {{"", {}}}},
        core::job_request{"draws",
                          "till-7",
                          sample_id,
                          true,
                          duration_ms{2500},
                          {{"quote \" and \\ and \n", duration_ms{300}}, {"ünïcode ✓", {}}}},
        core::job_request{"draws", "till-7", sample_id, true, {}, {{std::string("a\0b", 3), {}}}},
    };
    for (const auto& sample : samples) {
        const auto body = encode_job_request(sample);
        REQUIRE(body.ok());
        const auto decoded = decode_job_request(*body, context);
        REQUIRE(decoded.ok());
        CHECK(*decoded == sample);
    }
    const core::job_request binary{"draws", "till-7", std::nullopt, false, {}, {{"\xff\xfe", {}}}};
    CHECK_FALSE(encode_job_request(binary).ok());
}

struct faulty_request_case {
    std::string body;
    std::string message;
};

// Guards against running a job from a document that does not say what the caller meant.
TEST_CASE("a faulty job request is refused with the path of the fault") {
    const std::array cases{
        faulty_request_case{"", "document: not valid JSON at byte 1"},
        faulty_request_case{R"({"tasks":[{"payload":"a"})", "document: not valid JSON at byte 26"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}]} x)",
                            "document: not valid JSON at byte 29"},
        faulty_request_case{"[]", "document: must be an object"},
        faulty_request_case{"{}", "tasks: is missing"},
        faulty_request_case{R"({"tasks":{}})", "tasks: must be an array"},
        faulty_request_case{R"({"tasks":[]})", "tasks: must have at least one task"},
        faulty_request_case{R"({"tasks":["a"]})", "tasks[0]: must be an object"},
        faulty_request_case{R"({"tasks":[{"payload":"a"},{}]})", "tasks[1].payload: is missing"},
        faulty_request_case{R"({"tasks":[{"payload":7}]})", "tasks[0].payload: must be a text"},
        faulty_request_case{R"({"tasks":[{"payload":"a","run_time_ms":-1}]})",
                            "tasks[0].run_time_ms: must be a whole number of 0 to 86400000"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}],"deadline_ms":1.5})",
                            "deadline_ms: must be a whole number of 0 to 86400000"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}],"deadline_ms":18446744073709551616})",
                            "deadline_ms: must be a whole number of 0 to 86400000"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}],"deadline_ms":1e999})",
                            "document: holds a number that is out of range"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}],"idempotent":"no"})",
                            "idempotent: must be true or false"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}],"idempotant":true})",
                            "idempotant: unknown field"},
        faulty_request_case{R"({"tasks":[{"payload":"a"}],"idempotent":true,"idempotent":false})",
                            "idempotent: field occurs twice"},
        faulty_request_case{
            R"({"tasks":[{"payload":"a"}],"submission_id":"x"})",
            "submission_id: identifier needs the form zone.generation.issued_ms.key"},
        faulty_request_case{"{\"tasks\":[{\"payload\":\"\xff\"}]}",
                            "document: not valid JSON at byte 23"},
        faulty_request_case{std::string(100, '[') + std::string(100, ']'),
                            "document: nesting is deeper than 16 levels"},
    };
    for (const auto& test : cases) {
        CAPTURE(test.body);
        const auto decoded = decode_job_request(test.body, context);
        CHECK(decoded.status().code() == absl::StatusCode::kInvalidArgument);
        CHECK(std::string{decoded.status().message()} == test.message);
    }
}

struct answer_case {
    core::job_answer answer;
    int status = 0;
};

// Guards against answers from which a caller cannot distinguish the outcome classes.
TEST_CASE("job answers carry the outcome class in status and body") {
    const std::array cases{
        answer_case{{sample_id, outcome_class::answered, "", {}, {"a", ""}}, 200},
        answer_case{{std::nullopt, outcome_class::refused_not_run, "full", duration_ms{50}, {}},
                    503},
        answer_case{{sample_id, outcome_class::failed, "task 1 failed", {}, {}}, 502},
        answer_case{{sample_id, outcome_class::may_have_run, "owner lost", {}, {}}, 504},
    };
    for (const auto& test : cases) {
        const auto encoded = encode_job_answer(test.answer);
        CHECK(encoded.status == test.status);
        const auto decoded = decode_job_answer(encoded.body);
        REQUIRE(decoded.ok());
        CHECK(*decoded == test.answer);
    }
}

// Guards against a result that is altered in transit instead of reported as failed (guarantee G2).
TEST_CASE("a result that is not UTF-8 fails the job") {
    const auto encoded = encode_job_answer({sample_id, outcome_class::answered, "", {}, {"\xff"}});
    CHECK(encoded.status == 502);
    const auto decoded = decode_job_answer(encoded.body);
    REQUIRE(decoded.ok());
    CHECK(decoded->outcome == outcome_class::failed);
    CHECK(decoded->results.empty());
}

// Guards against partial or ambiguous answers that a caller accepts as complete.
TEST_CASE("a job answer that is incomplete or ambiguous is an error") {
    for (const std::string_view body :
         {"", "{}", R"({"outcome":"done"})", R"({"outcome":"failed","results":["a"]})",
          R"({"outcome":"answered","results":[1]})", R"({"outcome":"answered","results":["a")"}) {
        CAPTURE(body);
        CHECK_FALSE(decode_job_answer(body).ok());
    }
}

} // namespace
} // namespace hawthornstall::http
