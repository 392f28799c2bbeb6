#pragma once

/// Recorded history of a simulated run, and the checks of its invariants.

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::journal::testing {

enum class event_kind : std::uint8_t {
    start,   ///< An attempt of a task was sent to a target.
    failure, ///< A target replied with a definite failure.
    retry,   ///< The owner recorded that another attempt may follow the failed one.
    answer,  ///< A caller got the complete answer.
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

// Each check returns a description of the first violation, or nothing.

/// A task started twice without a failed attempt that may be repeated in between.
std::optional<std::string> find_double_start(const history& events);

/// A caller was told that a submission has not run, but a task of it started.
std::optional<std::string> find_false_refusal(const history& events);

/// Two different answers to one submission.
std::optional<std::string> find_changed_answer(const history& events);

/// Tasks of two different contents started under one identifier.
std::optional<std::string> find_second_content(const history& events);

/// First violation of any invariant.
std::optional<std::string> find_violation(const history& events);

} // namespace hawthornstall::journal::testing
