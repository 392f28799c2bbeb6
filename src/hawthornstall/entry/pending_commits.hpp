#pragma once

/// Container for items that wait until the journal has committed the append on which they depend.

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hawthornstall::entry {

/// Items by the sequence number of their append. They are returned in the order of the appends, and
/// in the order of insertion within one append.
template <class Item> class pending_commits {
public:
    /// Adds an item that depends on the append with this sequence number.
    void add(std::uint64_t sequence, Item item) { items_.emplace(sequence, std::move(item)); }

    /// Removes and returns the items whose append is `committed` or an earlier one.
    [[nodiscard]] std::vector<Item> take_committed(std::uint64_t committed) {
        return take_matching(items_.upper_bound(committed), [](const Item&) { return true; });
    }

    /// Removes and returns all items, for use when uncommitted appends may be lost.
    [[nodiscard]] std::vector<Item> take_all() {
        return take_matching(items_.end(), [](const Item&) { return true; });
    }

    /// Removes and returns the items that `matches` accepts.
    template <class Predicate> [[nodiscard]] std::vector<Item> take_if(Predicate matches) {
        return take_matching(items_.end(), matches);
    }

    [[nodiscard]] bool contains(const Item& item) const {
        return std::ranges::any_of(items_, [&](const auto& entry) { return entry.second == item; });
    }

private:
    using container = std::multimap<std::uint64_t, Item>;

    template <class Predicate>
    std::vector<Item> take_matching(typename container::iterator end, Predicate matches) {
        std::vector<Item> taken;
        for (auto position = items_.begin(); position != end;) {
            if (matches(position->second)) {
                taken.push_back(std::move(position->second));
                position = items_.erase(position);
            } else {
                ++position;
            }
        }
        return taken;
    }

    container items_;
};

} // namespace hawthornstall::entry
