#include "history.hpp"

#include <map>
#include <set>
#include <utility>

namespace hawthornstall::journal::testing {
namespace {

using task_key = std::pair<std::string, std::uint32_t>;

/// Number of the latest attempt of a task that started, failed, and may be followed by another.
struct attempt_progress {
    std::uint32_t started = 0;
    std::uint32_t failed = 0;
    std::uint32_t retry_allowed = 0;
};

} // namespace

std::optional<std::string> find_double_start(const history& events) {
    std::map<task_key, attempt_progress> tasks;
    for (const auto& event : events) {
        auto& task = tasks[{event.id, event.task}];
        if (event.kind == event_kind::failure) {
            task.failed = event.attempt;
        } else if (event.kind == event_kind::retry) {
            task.retry_allowed = event.attempt;
        } else if (event.kind == event_kind::start) {
            const bool may_follow =
                task.failed == task.started && task.retry_allowed == task.started;
            if (task.started != 0 && (!may_follow || event.attempt <= task.started)) {
                return "task " + std::to_string(event.task) + " of " + event.id + " started twice";
            }
            task.started = event.attempt;
        }
    }
    return std::nullopt;
}

std::optional<std::string> find_false_refusal(const history& events) {
    std::set<std::pair<std::string, std::string>> started;
    for (const auto& event : events) {
        if (event.kind == event_kind::start) {
            started.emplace(event.id, event.content);
        }
    }
    for (const auto& event : events) {
        if (event.kind == event_kind::refusal && started.contains({event.id, event.content})) {
            return event.id + " was refused as not run, but it ran";
        }
    }
    return std::nullopt;
}

std::optional<std::string> find_changed_answer(const history& events) {
    std::map<std::string, std::string> answers;
    for (const auto& event : events) {
        if (event.kind == event_kind::answer) {
            const auto& first = answers.try_emplace(event.id, event.answer).first->second;
            if (first != event.answer) {
                return event.id + " was answered " + first + " and " + event.answer;
            }
        }
    }
    return std::nullopt;
}

std::optional<std::string> find_second_content(const history& events) {
    std::map<std::string, std::string> contents;
    for (const auto& event : events) {
        if (event.kind == event_kind::start &&
            contents.try_emplace(event.id, event.content).first->second != event.content) {
            return event.id + " ran with two contents";
        }
    }
    return std::nullopt;
}

std::optional<std::string> find_violation(const history& events) {
    for (const auto check :
         {find_double_start, find_false_refusal, find_changed_answer, find_second_content}) {
        if (auto violation = check(events)) {
            return violation;
        }
    }
    return std::nullopt;
}

} // namespace hawthornstall::journal::testing
