#include "hawthornstall/settings/service_document_json.hpp"

#include "hawthornstall/settings/json_document.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace hawthornstall::settings {
namespace detail {

using enum presence;

constexpr std::array<std::string_view, 2> model_names{"minion", "worker"};
constexpr std::array<std::string_view, 3> order_names{"first_in_first_out", "fair_share",
                                                      "fewest_remaining"};

constexpr std::uint64_t kibibyte = 1024;
constexpr std::uint64_t mebibyte = 1024 * kibibyte;

constexpr number_range version_range{0, std::numeric_limits<std::int64_t>::max(), ""};
constexpr number_range core_range{0, 1024, "cores"};
constexpr number_range memory_range{0, 4'194'304, "MB"};
constexpr number_range accelerator_range{0, 64, "accelerators"};
/// Tasks take 50 ms to several seconds; the limit of one hour allows for exceptions.
constexpr number_range run_time_range{1, 3'600'000, "ms"};
constexpr number_range tasks_per_job_range{1, 10'000, "tasks"};
constexpr number_range body_range{1, 16 * mebibyte, "bytes"};
constexpr number_range deadline_range{1, 3'600'000, "ms"};
constexpr number_range percent_range{0, 100, "percent"};
constexpr number_range attempt_range{1, 10, "attempts"};
constexpr number_range quota_range{1, 10'000'000, "tasks"};
constexpr list_range caller_count_range{0, 1000};

/// All payloads of a job are sent between hosts in one message of at most 64 MiB; the other 4 MiB
/// are for headers and identifiers.
constexpr std::uint64_t max_job_bytes = 60 * mebibyte;

void read_task(object_checker& fields, core::task_shape& task) {
    fields.number("cores", optional, core_range, task.cores);
    fields.number("memory_mb", optional, memory_range, task.memory_mb);
    fields.number("accelerators", optional, accelerator_range, task.accelerators);
    fields.duration("expected_run_time_ms", optional, run_time_range, task.expected_run_time);
}

void read_acceptance(object_checker& fields, core::acceptance_rules& accepts) {
    fields.number("max_tasks_per_job", optional, tasks_per_job_range, accepts.max_tasks_per_job);
    fields.number("max_payload_bytes", optional, body_range, accepts.max_payload_bytes);
    fields.number("max_answer_bytes", optional, body_range, accepts.max_answer_bytes);
    fields.texts("callers", optional, caller_count_range, name_rule, accepts.callers);
}

void read_terms(object_checker& fields, core::service_terms& terms) {
    fields.duration("default_deadline_ms", optional, deadline_range, terms.default_deadline);
    fields.duration("max_deadline_ms", optional, deadline_range, terms.max_deadline);
}

void read_retry(object_checker& fields, core::retry_rules& retry) {
    fields.number("budget_percent", optional, percent_range, retry.budget_percent);
    fields.number("max_attempts", optional, attempt_range, retry.max_attempts);
    fields.flag("retry_failed_starts", optional, retry.retry_failed_starts);
    fields.flag("hedge", optional, retry.hedge);
}

void read_quota(object_checker& fields, core::quota_rules& quota) {
    fields.number("max_queued_tasks", optional, quota_range, quota.max_queued_tasks);
    fields.number("max_running_tasks", optional, quota_range, quota.max_running_tasks);
}

void check_task(problem_list& problems, const core::service_document& document) {
    const auto& task = document.task;
    if (document.model == core::capacity_model::minion) {
        if (task.memory_mb > 0) {
            problems.add_conflict({"$.task.memory_mb", "$.model"},
                                  "must be 0 for model minion, which has only slots");
        }
        if (task.accelerators > 0) {
            problems.add_conflict({"$.task.accelerators", "$.model"},
                                  "must be 0 for model minion, which has only slots");
        }
    } else if (task.cores == 0 && task.accelerators == 0) {
        problems.add_conflict({"$.task.cores", "$.task.accelerators", "$.model"},
                              "cores and accelerators must not both be 0 for model worker");
    }
}

void check_times(problem_list& problems, const core::service_document& document) {
    if (document.terms.default_deadline > document.terms.max_deadline) {
        problems.add_conflict({"$.terms.default_deadline_ms", "$.terms.max_deadline_ms"},
                              "must not exceed $.terms.max_deadline_ms (" +
                                  std::to_string(document.terms.max_deadline.count()) + " ms)");
    }
    if (document.task.expected_run_time > document.terms.max_deadline) {
        problems.add_conflict({"$.task.expected_run_time_ms", "$.terms.max_deadline_ms"},
                              "must not exceed $.terms.max_deadline_ms (" +
                                  std::to_string(document.terms.max_deadline.count()) + " ms)");
    }
}

void check_sizes(problem_list& problems, const core::service_document& document) {
    const auto& accepts = document.accepts;
    const auto limit = " must not exceed " + std::to_string(max_job_bytes) + " bytes";
    if (std::uint64_t{accepts.max_tasks_per_job} * accepts.max_payload_bytes > max_job_bytes) {
        problems.add_conflict({"$.accepts.max_payload_bytes", "$.accepts.max_tasks_per_job"},
                              "multiplied by $.accepts.max_tasks_per_job" + limit);
    }
    if (std::uint64_t{accepts.max_tasks_per_job} * accepts.max_answer_bytes > max_job_bytes) {
        problems.add_conflict({"$.accepts.max_answer_bytes", "$.accepts.max_tasks_per_job"},
                              "multiplied by $.accepts.max_tasks_per_job" + limit);
    }
    if (document.quota.max_queued_tasks < accepts.max_tasks_per_job) {
        problems.add_conflict({"$.quota.max_queued_tasks", "$.accepts.max_tasks_per_job"},
                              "must not be below $.accepts.max_tasks_per_job (" +
                                  std::to_string(accepts.max_tasks_per_job) + " tasks)");
    }
}

void check_retry(problem_list& problems, const core::retry_rules& retry) {
    if (retry.retry_failed_starts && retry.max_attempts < 2) {
        problems.add_conflict({"$.retry.retry_failed_starts", "$.retry.max_attempts"},
                              "needs $.retry.max_attempts of at least 2");
    }
    if (retry.hedge && (retry.max_attempts < 2 || retry.budget_percent == 0)) {
        problems.add_conflict({"$.retry.hedge", "$.retry.max_attempts", "$.retry.budget_percent"},
                              "needs $.retry.max_attempts of at least 2 and $.retry.budget_percent "
                              "of at least 1");
    }
}

void read_document(object_checker& fields, core::service_document& document) {
    fields.text("service", required, name_rule, document.service);
    fields.text("team", required, name_rule, document.team);
    fields.number("version", optional, version_range, document.version);
    fields.choice("model", optional, model_names, document.model);
    fields.choice("order", optional, order_names, document.order);
    fields.object("task", optional, [&](auto& part) { read_task(part, document.task); });
    fields.object("accepts", optional,
                  [&](auto& part) { read_acceptance(part, document.accepts); });
    fields.object("terms", optional, [&](auto& part) { read_terms(part, document.terms); });
    fields.object("retry", optional, [&](auto& part) { read_retry(part, document.retry); });
    fields.object("quota", optional, [&](auto& part) { read_quota(part, document.quota); });
    check_task(fields.problems(), document);
    check_times(fields.problems(), document);
    check_sizes(fields.problems(), document);
    check_retry(fields.problems(), document.retry);
}

} // namespace detail

absl::StatusOr<core::service_document> parse_service_document(std::string_view text) {
    core::service_document document;
    const auto status = check_document(text, "parse_service_document", [&](object_checker& fields) {
        detail::read_document(fields, document);
    });
    if (!status.ok()) {
        return status;
    }
    return document;
}

std::string to_json(const core::service_document& document) {
    const auto& [service, team, version, model, order, task, accepts, terms, retry, quota] =
        document;
    const nlohmann::ordered_json json = {
        {"service", service},
        {"team", team},
        {"version", version},
        {"model", detail::model_names.at(static_cast<std::size_t>(model))},
        {"order", detail::order_names.at(static_cast<std::size_t>(order))},
        {"task",
         {{"cores", task.cores},
          {"memory_mb", task.memory_mb},
          {"accelerators", task.accelerators},
          {"expected_run_time_ms", task.expected_run_time.count()}}},
        {"accepts",
         {{"max_tasks_per_job", accepts.max_tasks_per_job},
          {"max_payload_bytes", accepts.max_payload_bytes},
          {"max_answer_bytes", accepts.max_answer_bytes},
          {"callers", accepts.callers}}},
        {"terms",
         {{"default_deadline_ms", terms.default_deadline.count()},
          {"max_deadline_ms", terms.max_deadline.count()}}},
        {"retry",
         {{"budget_percent", retry.budget_percent},
          {"max_attempts", retry.max_attempts},
          {"retry_failed_starts", retry.retry_failed_starts},
          {"hedge", retry.hedge}}},
        {"quota",
         {{"max_queued_tasks", quota.max_queued_tasks},
          {"max_running_tasks", quota.max_running_tasks}}},
    };
    return json.dump();
}

} // namespace hawthornstall::settings
