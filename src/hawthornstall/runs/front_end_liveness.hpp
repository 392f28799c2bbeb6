#pragma once

/// When the front ends that have started runs on this host's targets were alive.

#include "hawthornstall/core/ms_clock.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hawthornstall::runs {

/// Last times at which the front ends certainly were alive, on this host's clock. A caller whose
/// front end has ended submits its job again, so no run may outlive its front end by much.
class front_end_liveness {
public:
    /// Records that `host` was alive at `time`. An earlier time than the known one changes nothing.
    void heard(std::string_view host, core::time_ms time) {
        auto& known = alive_at_.try_emplace(std::string{host}).first->second;
        known = std::max(known, time);
    }

    /// Last time at which `host` certainly was alive; the epoch of the clock if it is not known.
    [[nodiscard]] core::time_ms alive_at(std::string_view host) const {
        const auto found = alive_at_.find(host);
        return found == alive_at_.end() ? core::time_ms{} : found->second;
    }

    /// Times by host.
    [[nodiscard]] const std::map<std::string, core::time_ms, std::less<>>& all() const noexcept {
        return alive_at_;
    }

private:
    std::map<std::string, core::time_ms, std::less<>> alive_at_;
};

} // namespace hawthornstall::runs
