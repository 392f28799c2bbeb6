#pragma once

/// The capacity model of minions.

#include "hawthornstall/scheduling/capacity_model.hpp"

#include <algorithm>

namespace hawthornstall::scheduling {

/// Each task takes one slot and one connection. A minion that announces 0 connections has no limit
/// on them.
class slot_capacity {
public:
    struct state {
        std::uint32_t total = 0;
    };

    explicit slot_capacity(const core::task_shape& /*shape*/) {}

    void resize(state& target, const core::target_capacity& capacity) const {
        target.total = capacity.connections == 0 ? capacity.slots
                                                 : std::min(capacity.slots, capacity.connections);
    }

    void report(state& /*target*/, const usage_report& /*report*/) const {}

    [[nodiscard]] std::uint32_t total(const state& target) const { return target.total; }

    [[nodiscard]] std::uint32_t free(const state& target, std::uint32_t in_flight) const {
        return target.total - std::min(target.total, in_flight);
    }
};

static_assert(capacity_model<slot_capacity>);

} // namespace hawthornstall::scheduling
