#pragma once

/// When the front ends that have started runs on this host's targets were alive.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/net/link_state.hpp"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hawthornstall::runs {

/// The last signs of life of front ends. A caller whose front end has ended submits its job again,
/// so no run may outlive its front end by much.
class front_end_liveness {
public:
    /// Records the last sign of life of `host`.
    void update(std::string_view host, const net::sign_of_life& sign) {
        signs_.insert_or_assign(std::string{host}, sign);
    }

    /// Last time on this host's clock at which `host` certainly was alive and a caller that leaves
    /// at `caller_leaves_at`, on the clock of `host`, waited. The epoch if no sign of life is
    /// known.
    [[nodiscard]] core::time_ms last_served(std::string_view host,
                                            core::time_ms caller_leaves_at) const;

    /// Signs of life by host.
    [[nodiscard]] const std::map<std::string, net::sign_of_life, std::less<>>&
    all() const noexcept {
        return signs_;
    }

private:
    std::map<std::string, net::sign_of_life, std::less<>> signs_;
};

} // namespace hawthornstall::runs
