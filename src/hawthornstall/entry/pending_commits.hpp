#pragma once

/// Stage of an owner that holds items back until the journal has committed what they rest on.

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace hawthornstall::entry {

/// Pure. Items leave in the order of their appends, and of their arrival within one.
template <class Item> class pending_commits {
public:
    void add(std::uint64_t append, Item item) { items_.emplace(append, std::move(item)); }

    /// Takes out the items whose append is `committed` or an earlier one.
    [[nodiscard]] std::vector<Item> take_committed(std::uint64_t committed) {
        return take_matching(items_.upper_bound(committed), [](const Item&) { return true; });
    }

    /// Takes out all items, none of which may count on its append any more.
    [[nodiscard]] std::vector<Item> take_all() {
        return take_matching(items_.end(), [](const Item&) { return true; });
    }

    /// Takes out the items that `matches` accepts.
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
