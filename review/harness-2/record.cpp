#include "record.hpp"

#include <algorithm>
#include <chrono>
#include <iomanip>
#include <utility>

namespace review {
namespace {

template <class Clock> std::int64_t now_ms() {
    const auto since = Clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

} // namespace

std::int64_t steady_ms() {
    return now_ms<std::chrono::steady_clock>();
}

std::int64_t unix_ms() {
    return now_ms<std::chrono::system_clock>();
}

record::record(const std::string& path) : file_(path), begin_(steady_ms()) {}

void record::write(const std::string& line) {
    constexpr int time_width = 7;
    const std::lock_guard lock{mutex_};
    file_ << std::setw(time_width) << steady_ms() - begin_ << " ms  " << line << std::endl;
}

void record::task_started(task_start start) {
    const std::lock_guard lock{mutex_};
    start.at = steady_ms();
    starts_.push_back(std::move(start));
}

void record::task_ended(const std::string& task, const std::string& minion) {
    const std::lock_guard lock{mutex_};
    for (auto& start : starts_) {
        if (start.task == task && start.minion == minion && start.ended == 0) {
            start.ended = steady_ms();
        }
    }
}

std::vector<task_start> record::starts() {
    const std::lock_guard lock{mutex_};
    return starts_;
}

bool record::has_started(const std::string& job) {
    const std::lock_guard lock{mutex_};
    return std::ranges::any_of(
        starts_, [&](const task_start& start) { return start.task.starts_with(job + '.'); });
}

} // namespace review
