#pragma once

/// Collects everything that is wrong with one document.

#include <absl/status/status.h>

#include <cstddef>
#include <initializer_list>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {

/// One fault, for example {"$.accepts.max_tasks_per_job", "expected ..., found 0"}.
struct problem {
    std::string path;
    std::string message;

    bool operator==(const problem&) const = default;
};

/// Problems of one document in the order in which they were found.
class problem_list {
public:
    /// Most problems that are kept; the rest is only counted, so that a hostile document cannot
    /// cause an answer larger than itself.
    static constexpr std::size_t max_kept = 100;

    void add(std::string_view path, std::string_view message);

    /// Reports that the values at `paths` contradict each other, at the first of them. Does nothing
    /// when one of them has a problem of its own.
    void add_conflict(std::initializer_list<std::string_view> paths, std::string_view message);

    [[nodiscard]] bool has(std::string_view path) const;
    [[nodiscard]] const std::vector<problem>& kept() const noexcept { return kept_; }
    [[nodiscard]] std::size_t count() const noexcept { return kept_.size() + dropped_; }

    /// OK when there is no problem; otherwise kInvalidArgument with one line "path: message" each.
    [[nodiscard]] absl::Status to_status(std::string_view step) const;

private:
    std::vector<problem> kept_;
    std::size_t dropped_ = 0;
};

} // namespace hawthornstall::settings
