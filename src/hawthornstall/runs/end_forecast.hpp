#pragma once

/// Forecasts when the runs on the targets end and free their resources.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/resources.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// The runs of one scheduler with their forecast ends, by target. A run that has outlasted its
/// forecast is expected to take twice as long, and so on: run times have long tails, so a run that
/// is late will probably stay for a while. Does no I/O.
class end_forecast {
public:
    /// A run starts that is expected to take `duration`.
    void started(const std::string& target, std::uint64_t key, const core::resources& resources,
                 core::time_ms now, core::duration_ms duration);

    /// A run has ended.
    void ended(std::string_view target, std::uint64_t key);

    /// Resources of the runs on `target` that are expected to have ended by `time`.
    [[nodiscard]] core::resources freed_by(std::string_view target, core::time_ms time,
                                           core::time_ms now) const;

    /// When `wanted` fits on `target`, of which `free` is free now; empty when it does not fit
    /// after the end of all runs known here either.
    [[nodiscard]] std::optional<core::time_ms> fits_at(std::string_view target,
                                                       const core::resources& free,
                                                       const core::resources& wanted,
                                                       core::time_ms now) const;

private:
    struct run {
        std::uint64_t key = 0;
        core::resources resources{};
        core::time_ms started{};
        core::duration_ms duration{};

        [[nodiscard]] core::time_ms expected_end(core::time_ms now) const;
    };

    std::map<std::string, std::vector<run>, std::less<>> runs_; ///< By target.
};

} // namespace hawthornstall::runs
