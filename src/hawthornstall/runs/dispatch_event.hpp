#pragma once

/// Events of an entry host that runs jobs on leased targets.

#include "hawthornstall/core/log_level.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/traffic.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::runs {

/// An event to be logged and counted.
struct dispatch_event {
    core::log_level level = core::log_level::info;
    std::string_view name{}; ///< For example "job_ended".
    std::string id{};        ///< Id of the job, if any.
    std::string peer{};      ///< Host or target concerned, if any.
    std::string detail{};
    std::optional<core::duration_ms> age{}; ///< Age of the job or call, if any.
    /// Counts of all messages since the start of the process, in "traffic" events only.
    std::vector<core::traffic_row> traffic{};
};

} // namespace hawthornstall::runs
