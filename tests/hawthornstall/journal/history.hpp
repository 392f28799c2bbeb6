#pragma once

/// Recorded history of a simulated run, and the invariants over it.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::journal::testing {

enum class event_kind : std::uint8_t {
    start,   ///< A task was sent to a target.
    failure, ///< A target replied with a definite failure.
    retry,   ///< The owner recorded that the failed attempt may be followed by another one.
    answer,  ///< A caller got the whole answer.
    refusal, ///< A caller was told that its submission has not run.
};

struct event {
    event_kind kind = event_kind::start;
    std::string id{};
    std::string content{};
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;
    std::string answer{};
};

using history = std::vector<event>;

/// Each returns what is wrong, or nothing.
std::optional<std::string> find_double_start(const history& events);
std::optional<std::string> find_untrue_refusal(const history& events);
std::optional<std::string> find_changed_answer(const history& events);
std::optional<std::string> find_second_content(const history& events);

/// First violation of any invariant.
std::optional<std::string> find_violation(const history& events);

} // namespace hawthornstall::journal::testing
