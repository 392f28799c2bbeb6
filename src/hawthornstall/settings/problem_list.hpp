#pragma once

/// Collection of all problems of one document, so that they can be reported together.

#include <absl/status/status.h>

#include <cstddef>
#include <functional>
#include <initializer_list>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// Path and description of one problem, for example
/// {"$.accepts.max_tasks_per_job", "expected ..., found 0"}.
struct problem {
    std::string path;
    std::string message;

    bool operator==(const problem&) const = default;
};

/// Problems of one document in the order in which they were found.
class problem_list {
public:
    /// Maximum number of problems kept. Further ones are only counted, so that a hostile document
    /// cannot cause an answer larger than itself.
    static constexpr std::size_t max_kept = 100;

    /// Reports a problem with the value at `path`.
    void add(std::string_view path, std::string_view message);

    /// Reports at the first of `paths` that the values at `paths` contradict each other. Does
    /// nothing when one of these values already has a problem, as the conflict may only follow from
    /// it.
    void add_conflict(std::initializer_list<std::string_view> paths, std::string_view message);

    /// Whether a problem with this path was reported, kept or not.
    [[nodiscard]] bool has(std::string_view path) const;
    [[nodiscard]] const std::vector<problem>& kept() const noexcept { return kept_; }

    /// Number of problems, including those that were not kept.
    [[nodiscard]] std::size_t count() const noexcept { return kept_.size() + dropped_; }

    /// OK when there is no problem; otherwise kInvalidArgument with one line "path: message" for
    /// each kept problem and the number of the others.
    [[nodiscard]] absl::Status to_status(std::string_view step) const;

private:
    std::vector<problem> kept_;
    std::size_t dropped_ = 0;
    /// Paths of the problems that were not kept; add_conflict() needs them.
    std::set<std::string, std::less<>> dropped_paths_;
};

} // namespace hawthornstall::settings
