#include "policy/report.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <cstdio>
#include <ostream>

namespace hawthornstall::policy_bench {
namespace detail {

constexpr std::size_t line_length = 256;

nlohmann::json to_object(const run_result& result) {
    return {{"workload", result.workload},
            {"policy", result.policy},
            {"jobs", result.jobs},
            {"tasks", result.tasks},
            {"answered_jobs", result.answered_jobs},
            {"served_tasks", result.served_tasks},
            {"refused_jobs", result.refused_jobs},
            {"missed_deadlines", result.missed_deadlines},
            {"failed_jobs", result.failed_jobs},
            {"cancelled_jobs", result.cancelled_jobs},
            {"ratio_mean", result.ratio.mean},
            {"ratio_p50", result.ratio.p50},
            {"ratio_p99", result.ratio.p99},
            {"charged_ratio_mean", result.charged_ratio},
            {"messages_per_task", result.messages_per_task},
            {"wasted_per_served_task", result.wasted_per_served_task},
            {"goodput", result.goodput},
            {"idempotent_answered", result.idempotent_answered},
            {"breaches", result.breaches.total()}};
}

} // namespace detail

void write_table_header(std::ostream& out) {
    out << "workload                               policy                    mean    p50    p99 "
           "charged  msg/task  wasted refused missed failed goodput idem.answ breaches\n";
}

void write_table_row(std::ostream& out, const run_result& result) {
    std::array<char, detail::line_length> line{};
    std::snprintf(
        line.data(), line.size(),
        "%-38s %-24s %5.2f %6.2f %6.2f %7.2f %9.2f %7.3f %7llu %6llu %6llu %7.3f %9.4f "
        "%8llu\n",
        result.workload.c_str(), result.policy.c_str(), result.ratio.mean, result.ratio.p50,
        result.ratio.p99, result.charged_ratio, result.messages_per_task,
        result.wasted_per_served_task, static_cast<unsigned long long>(result.refused_jobs),
        static_cast<unsigned long long>(result.missed_deadlines),
        static_cast<unsigned long long>(result.failed_jobs), result.goodput,
        result.idempotent_answered, static_cast<unsigned long long>(result.breaches.total()));
    out << line.data();
}

std::string to_json(std::span<const run_result> results) {
    auto rows = nlohmann::json::array();
    for (const auto& result : results) {
        rows.push_back(detail::to_object(result));
    }
    return rows.dump(1);
}

} // namespace hawthornstall::policy_bench
