#include "hawthornstall/entry/authenticate.hpp"
#include "hawthornstall/entry/authorize_edit.hpp"
#include "hawthornstall/entry/check_limits.hpp"
#include "hawthornstall/entry/decode_call.hpp"
#include "hawthornstall/entry/decode_edit.hpp"
#include "hawthornstall/entry/resolve_service.hpp"
#include "hawthornstall/pipeline/pipe.hpp"

#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::entry {
namespace {

const std::vector<settings::credential> credentials{
    {{"van-7", settings::role::caller, "restock-team"}, settings::digest_of("caller-token")},
    {{"van-8", settings::role::caller, "restock-team"}, settings::digest_of("other-caller-token")},
    {{"marta", settings::role::team, "restock-team"}, settings::digest_of("team-token")},
    {{"oncall", settings::role::site_operator, ""}, settings::digest_of("operator-token")},
};

resolve_service::document_source make_documents() {
    core::service_document document;
    document.service = "restock";
    document.team = "restock-team";
    document.version = 1;
    document.accepts.max_tasks_per_job = 2;
    document.accepts.max_payload_bytes = 8;
    document.accepts.callers = {"van-7", "marta"};
    document.terms.default_deadline = core::duration_ms{4000};
    document.terms.max_deadline = core::duration_ms{9000};
    control::applied_documents documents;
    documents.apply({0, 1, {document}});
    return std::make_shared<const control::applied_documents>(documents);
}

struct call_case {
    std::string_view name;
    std::string_view authorization;
    call_kind kind;
    std::string_view service;
    std::string_view body;
    absl::StatusCode code;
};

constexpr std::string_view caller = "Bearer caller-token";
constexpr std::string_view one_task = R"({"tasks":[{"payload":"a"}]})";
constexpr std::string_view two_tasks = R"({"tasks":[{"payload":"a"},{"payload":"b"}]})";

constexpr std::array call_cases{
    call_case{"caller", caller, call_kind::job, "restock", two_tasks, absl::StatusCode::kOk},
    call_case{"team", "Bearer team-token", call_kind::job, "restock", two_tasks,
              absl::StatusCode::kOk},
    call_case{"single request", caller, call_kind::single_task, "restock", one_task,
              absl::StatusCode::kOk},
    call_case{"no token", "", call_kind::job, "restock", one_task,
              absl::StatusCode::kUnauthenticated},
    call_case{"unknown token", "Bearer guess", call_kind::job, "restock", one_task,
              absl::StatusCode::kUnauthenticated},
    call_case{"other scheme", "Basic caller-token", call_kind::job, "restock", one_task,
              absl::StatusCode::kUnauthenticated},
    call_case{"operator", "Bearer operator-token", call_kind::job, "restock", one_task,
              absl::StatusCode::kPermissionDenied},
    call_case{"caller that the document does not admit", "Bearer other-caller-token",
              call_kind::job, "restock", one_task, absl::StatusCode::kPermissionDenied},
    call_case{"unknown service", caller, call_kind::job, "routes", one_task,
              absl::StatusCode::kNotFound},
    call_case{"malformed body", caller, call_kind::job, "restock", "{",
              absl::StatusCode::kInvalidArgument},
    call_case{"too many tasks", caller, call_kind::job, "restock",
              R"({"tasks":[{"payload":"a"},{"payload":"b"},{"payload":"c"}]})",
              absl::StatusCode::kInvalidArgument},
    call_case{"payload too large", caller, call_kind::job, "restock",
              R"({"tasks":[{"payload":"123456789"}]})", absl::StatusCode::kInvalidArgument},
    call_case{"request of two tasks", caller, call_kind::single_task, "restock", two_tasks,
              absl::StatusCode::kInvalidArgument},
    call_case{"deadline too late", caller, call_kind::job, "restock",
              R"({"deadline_ms":9001,"tasks":[{"payload":"a"}]})",
              absl::StatusCode::kInvalidArgument},
};

// Guards against calls that reach the dispatcher although the token or the service's document does
// not allow them.
TEST_CASE("the call pipeline admits only calls that the token and the document allow") {
    const auto documents = make_documents();
    pipeline::pipe pipeline{authenticate{credentials}, decode_call{}, resolve_service{&documents},
                            check_limits{}};
    for (const auto& test : call_cases) {
        CAPTURE(test.name);
        const auto call = pipeline(arrived_call{.kind = test.kind,
                                                .authorization = test.authorization,
                                                .service = test.service,
                                                .body = test.body});
        CHECK(call.status().code() == test.code);
        if (call.ok()) {
            CHECK(call->job.deadline == core::duration_ms{4000});
        }
    }
}

struct edit_case {
    std::string_view name;
    std::string_view authorization;
    std::string_view base_version;
    std::string_view edit_id;
    std::string_view body;
    absl::StatusCode code;
};

constexpr std::string_view team = "Bearer team-token";
constexpr std::string_view document = R"({"service":"restock","team":"restock-team"})";

constexpr std::array edit_cases{
    edit_case{"team", team, "3", "edit-1", document, absl::StatusCode::kOk},
    edit_case{"caller of the owning team", caller, "3", "edit-1", document,
              absl::StatusCode::kPermissionDenied},
    edit_case{"operator", "Bearer operator-token", "3", "edit-1", document,
              absl::StatusCode::kPermissionDenied},
    edit_case{"no token", "", "3", "edit-1", document, absl::StatusCode::kUnauthenticated},
    edit_case{"no version", team, "", "edit-1", document, absl::StatusCode::kInvalidArgument},
    edit_case{"negative version", team, "-1", "edit-1", document,
              absl::StatusCode::kInvalidArgument},
    edit_case{"no edit identifier", team, "3", "", document, absl::StatusCode::kInvalidArgument},
    edit_case{"malformed document", team, "3", "edit-1", "{}", absl::StatusCode::kInvalidArgument},
};

// Guards against edits with a token that is not a team's, and against edits without a base version,
// which would overwrite a concurrent edit.
TEST_CASE("the edit pipeline admits only complete edits of a team") {
    pipeline::pipe pipeline{authorize_edit{credentials}, decode_edit{"entry-1"}};
    for (const auto& test : edit_cases) {
        CAPTURE(test.name);
        const auto edit = pipeline(arrived_edit{.authorization = test.authorization,
                                                .service = "restock",
                                                .base_version = test.base_version,
                                                .edit_id = test.edit_id,
                                                .body = test.body});
        CHECK(edit.status().code() == test.code);
        if (edit.ok()) {
            CHECK(edit->base_version == 3);
            CHECK(edit->actor == "marta");
            CHECK(edit->actor_team == "restock-team");
            CHECK(edit->host == "entry-1");
        }
    }
}

} // namespace
} // namespace hawthornstall::entry
