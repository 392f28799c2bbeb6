#pragma once

/// Edits that wait for the configuration log.

#include "hawthornstall/core/ms_clock.hpp"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace hawthornstall::control_host {

/// Who waits for an edit.
struct edit_sender {
    std::string host;
    std::uint64_t number = 0; ///< The sender's own number.
    bool is_control = false;  ///< A control host that forwarded it.
    core::time_ms deadline{};
};

/// Numbers the edits of one control host; forgets those whose senders have given up.
class edit_queue {
public:
    /// Entry hosts ask again after less than this.
    static constexpr core::duration_ms patience{5000};

    [[nodiscard]] std::uint64_t add(edit_sender sender) {
        waiting_.emplace(++last_number_, std::move(sender));
        return last_number_;
    }

    /// Removes and returns the sender of an edit; empty when it was given up.
    [[nodiscard]] std::optional<edit_sender> take(std::uint64_t number) {
        auto node = waiting_.extract(number);
        return node.empty() ? std::nullopt : std::optional{std::move(node.mapped())};
    }

    void forget_overdue(core::time_ms now) {
        std::erase_if(waiting_, [&](const auto& entry) { return entry.second.deadline <= now; });
    }

private:
    std::uint64_t last_number_ = 0;
    std::map<std::uint64_t, edit_sender> waiting_;
};

} // namespace hawthornstall::control_host
