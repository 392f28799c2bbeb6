#pragma once

/// Indexes of the targets of a pool, so that a placement looks at few of them. They refer to the
/// targets, which must be removed before they are changed or destroyed.

#include "hawthornstall/runs/pooled_target.hpp"

#include <concepts>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace hawthornstall::runs {

/// Usable targets of each service in the order in which a placement prefers them: the fastest class
/// of slowness first, and in a class the one with the least free processor capacity.
class free_target_order {
public:
    /// Adds a target unless it is unusable.
    void insert(const pooled_target& item);

    /// Removes a target that insert() has added in the same state.
    void erase(const pooled_target& item);

    /// The first target of `service` with `cpu_millis` free that `accept` returns true for; null if
    /// there is none.
    template <std::predicate<const pooled_target&> Accept>
    [[nodiscard]] const pooled_target* find(std::string_view service, std::int64_t cpu_millis,
                                            Accept accept) const {
        const auto classes = services_.find(service);
        if (classes == services_.end()) {
            return nullptr;
        }
        for (const auto& [slowness, targets] : classes->second) {
            for (auto position = targets.lower_bound({cpu_millis, {}, nullptr});
                 position != targets.end(); ++position) {
                const auto* const item = std::get<const pooled_target*>(*position);
                if (accept(*item)) {
                    return item;
                }
            }
        }
        return nullptr;
    }

private:
    /// Free processor capacity, id and target.
    using entry = std::tuple<std::int64_t, std::string_view, const pooled_target*>;
    using speed_classes = std::map<int, std::set<entry>>;

    std::map<std::string, speed_classes, std::less<>> services_;
};

/// Groups of targets by a name, such as that of their lease holder.
class target_groups {
public:
    void insert(const std::string& group, const pooled_target& item);
    void erase(std::string_view group, const pooled_target& item);
    [[nodiscard]] std::span<const pooled_target* const> find(std::string_view group) const;

private:
    std::map<std::string, std::vector<const pooled_target*>, std::less<>> groups_;
};

} // namespace hawthornstall::runs
