#include "hawthornstall/membership/target_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace hawthornstall::membership {
namespace detail {

std::uint64_t combine_hash(std::uint64_t hash, std::uint64_t number) {
    return XXH3_64bits_withSeed(&number, sizeof number, hash);
}

} // namespace detail

const core::target_announcement* target_table::row(std::uint32_t slot) const {
    return slot < rows_.size() && rows_[slot] ? &*rows_[slot] : nullptr;
}

std::optional<std::uint32_t> target_table::slot_of(std::string_view name) const {
    const auto found = slots_.find(name);
    return found == slots_.end() ? std::nullopt : std::optional{found->second};
}

std::optional<table_change> target_table::put(const core::target_announcement& announcement) {
    auto slot = slot_of(announcement.name);
    if (!slot) {
        const auto free =
            std::ranges::find_if(rows_, [](const auto& content) { return !content.has_value(); });
        slot = static_cast<std::uint32_t>(free - rows_.begin());
    }
    if (*slot >= max_slots) {
        return std::nullopt;
    }
    set(*slot, announcement);
    ++version_;
    return table_change{.slot = *slot, .content = announcement};
}

table_change target_table::remove(std::uint32_t slot) {
    set(slot, std::nullopt);
    ++version_;
    return {.slot = slot, .content = std::nullopt};
}

bool target_table::apply(std::span<const table_change> changes, std::uint64_t version) {
    if (std::ranges::any_of(changes, [](const auto& change) { return change.slot >= max_slots; })) {
        return false;
    }
    for (const auto& change : changes) {
        set(change.slot, change.content);
    }
    version_ = version;
    return true;
}

bool target_table::replace(std::span<const table_change> rows, std::uint64_t version) {
    *this = target_table{};
    return apply(rows, version);
}

std::vector<table_change> target_table::rows() const {
    std::vector<table_change> present;
    for (std::uint32_t slot = 0; slot < rows_.size(); ++slot) {
        if (rows_[slot]) {
            present.push_back({.slot = slot, .content = rows_[slot]});
        }
    }
    return present;
}

std::uint64_t target_table::digest() const {
    std::uint64_t hash = 0;
    for (std::uint32_t slot = 0; slot < rows_.size(); ++slot) {
        if (const auto& content = rows_[slot]) {
            hash = XXH3_64bits_withSeed(content->name.data(), content->name.size(),
                                        detail::combine_hash(hash, slot));
            hash = detail::combine_hash(detail::combine_hash(hash, content->incarnation),
                                        content->sequence);
        }
    }
    return hash;
}

void target_table::set(std::uint32_t slot, std::optional<core::target_announcement> content) {
    if (slot >= rows_.size()) {
        if (!content) {
            return;
        }
        rows_.resize(std::size_t{slot} + 1);
    }
    if (rows_[slot]) {
        slots_.erase(rows_[slot]->name);
    }
    rows_[slot] = std::move(content);
    if (rows_[slot]) {
        slots_[rows_[slot]->name] = slot;
    }
    while (!rows_.empty() && !rows_.back()) {
        rows_.pop_back();
    }
}

} // namespace hawthornstall::membership
