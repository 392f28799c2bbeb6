#include "hawthornstall/http/job_body.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/http/http_status.hpp"
#include "hawthornstall/http/json_reader.hpp"

#include <nlohmann/json.hpp>

#include <optional>
#include <utility>

namespace hawthornstall::http {
namespace detail {
namespace {

using nlohmann::json;

/// Maximum deadline and run time: one day. The limit prevents overflow in the arithmetic on times.
constexpr std::uint64_t max_duration_ms = 24ULL * 60 * 60 * 1000;

core::duration_ms to_duration(std::uint64_t count) {
    return core::duration_ms{static_cast<core::duration_ms::rep>(count)};
}

core::duration_ms read_duration(object_reader& reader, const char* field) {
    return to_duration(reader.number(field, presence::optional, {0, max_duration_ms}));
}

std::optional<core::submission_id> read_submission_id(object_reader& reader) {
    if (!reader.has("submission_id")) {
        return std::nullopt;
    }
    const auto text = reader.text("submission_id", presence::required);
    auto id = core::parse_submission_id(text);
    if (!id.ok()) {
        const auto problem = id.status().message();
        reader.fault("submission_id", {problem.data(), problem.size()});
        return std::nullopt;
    }
    return *std::move(id);
}

core::task_request read_task(const json& value, const std::string& path, fault_recorder& faults) {
    object_reader reader{value, path, faults};
    core::task_request task{.payload = reader.text("payload", presence::required),
                            .declared_run_time = read_duration(reader, "run_time_ms")};
    reader.refuse_unknown_fields();
    return task;
}

json to_json(const core::job_answer& answer) {
    json document{{"outcome", core::to_string(answer.outcome)},
                  {"reason", answer.reason},
                  {"retry_after_ms", answer.retry_after.count()},
                  {"results", answer.results}};
    if (answer.id) {
        document["submission_id"] = core::to_string(*answer.id);
    }
    return document;
}

} // namespace
} // namespace detail

absl::StatusOr<core::job_request> decode_job_request(std::string_view body, job_context context) {
    detail::fault_recorder faults{"decode_job"};
    const auto document = detail::parse_document(body, faults);
    detail::object_reader reader{document, "", faults};
    core::job_request request{.service = std::string{context.service},
                              .caller = std::string{context.caller},
                              .id = detail::read_submission_id(reader),
                              .idempotent = reader.flag("idempotent", detail::presence::optional),
                              .deadline = detail::read_duration(reader, "deadline_ms"),
                              .tasks = {}};
    reader.each("tasks", detail::presence::required, [&](const auto& task, const auto& path) {
        request.tasks.push_back(detail::read_task(task, path, faults));
    });
    if (request.tasks.empty()) {
        reader.fault("tasks", "must have at least one task");
    }
    reader.refuse_unknown_fields();
    if (!faults.status().ok()) {
        return faults.status();
    }
    return request;
}

absl::StatusOr<std::string> encode_job_request(const core::job_request& request) {
    auto tasks = nlohmann::json::array();
    for (const auto& task : request.tasks) {
        tasks.push_back(
            {{"payload", task.payload}, {"run_time_ms", task.declared_run_time.count()}});
    }
    nlohmann::json document{{"idempotent", request.idempotent},
                            {"deadline_ms", request.deadline.count()},
                            {"tasks", std::move(tasks)}};
    if (request.id) {
        document["submission_id"] = core::to_string(*request.id);
    }
    return detail::write_document(document);
}

encoded_answer encode_job_answer(const core::job_answer& answer) {
    auto body = detail::write_document(detail::to_json(answer));
    if (body.ok()) {
        return {.status = status_of(answer.outcome), .body = *std::move(body)};
    }
    const core::job_answer failed{.id = answer.id,
                                  .outcome = core::outcome_class::failed,
                                  .reason = "a target's result is not UTF-8 text",
                                  .retry_after = {},
                                  .results = {}};
    return {.status = status_of(failed.outcome), .body = detail::to_json(failed).dump()};
}

absl::StatusOr<core::job_answer> decode_job_answer(std::string_view body) {
    detail::fault_recorder faults{"decode_job_answer"};
    const auto document = detail::parse_document(body, faults);
    detail::object_reader reader{document, "", faults};
    const auto outcome = core::parse_outcome(reader.text("outcome", detail::presence::required));
    if (!outcome) {
        reader.fault("outcome", "is not a known outcome");
    }
    core::job_answer answer{.id = detail::read_submission_id(reader),
                            .outcome = outcome.value_or(core::outcome_class::failed),
                            .reason = reader.text("reason", detail::presence::optional),
                            .retry_after = detail::read_duration(reader, "retry_after_ms"),
                            .results = {}};
    reader.each("results", detail::presence::optional, [&](const auto& result, const auto& path) {
        answer.results.push_back(detail::read_text(result, path, {}, faults));
    });
    if (answer.outcome != core::outcome_class::answered && !answer.results.empty()) {
        reader.fault("results", "must be empty unless the outcome is answered");
    }
    if (!faults.status().ok()) {
        return faults.status();
    }
    return answer;
}

} // namespace hawthornstall::http
