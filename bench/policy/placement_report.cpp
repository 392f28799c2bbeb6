#include "policy/placement_report.hpp"

#include <array>
#include <cstdio>
#include <ostream>
#include <string>

namespace hawthornstall::policy_bench {
namespace detail {

constexpr std::size_t line_length = 320;
constexpr double percent = 100.0;

std::string shares(const placement_counts& counts) {
    std::array<char, line_length> text{};
    std::snprintf(text.data(), text.size(), "%.1f/%.1f/%.1f/%.1f",
                  percent * counts.share(placement_outcome::in_time),
                  percent * counts.share(placement_outcome::late),
                  percent * counts.share(placement_outcome::refused),
                  percent * counts.share(placement_outcome::not_done));
    return text.data();
}

} // namespace detail

void write_placement_header(std::ostream& out) {
    std::array<char, detail::line_length> line{};
    std::snprintf(line.data(), line.size(),
                  "%-10s %-8s %6s %-20s %-20s %-20s %-20s %7s %7s %7s %6s %6s %8s\n", "load",
                  "policy", "jobs", "all", std::string{placement_queue_name(0)}.c_str(),
                  std::string{placement_queue_name(1)}.c_str(),
                  std::string{placement_queue_name(2)}.c_str(), "mean", "p99", "never%", "used%",
                  "idle%", "breaches");
    out << "Shares of the jobs in percent: in time/late/refused/not done. mean, p99: wait in ms of "
           "the largest tenth of the tasks.\n"
        << line.data();
}

void write_placement_row(std::ostream& out, std::string_view workload, std::string_view policy,
                         const placement_result& result) {
    const auto breaches = result.unanswered + result.answered_twice + result.overfilled +
                          (result.is_idle_at_end ? 0 : 1);
    std::array<char, detail::line_length> line{};
    std::snprintf(line.data(), line.size(),
                  "%-10s %-8s %6llu %-20s %-20s %-20s %-20s %7.1f %7.0f %7.2f %6.1f %6.2f %8llu\n",
                  std::string{workload}.c_str(), std::string{policy}.c_str(),
                  static_cast<unsigned long long>(result.all.jobs),
                  detail::shares(result.all).c_str(), detail::shares(result.by_queue[0]).c_str(),
                  detail::shares(result.by_queue[1]).c_str(),
                  detail::shares(result.by_queue[2]).c_str(), result.large_wait_ms.mean,
                  result.large_wait_ms.p99, detail::percent * result.large_not_started,
                  detail::percent * result.used_share, detail::percent * result.idle_share,
                  static_cast<unsigned long long>(breaches));
    out << line.data();
}

} // namespace hawthornstall::policy_bench
