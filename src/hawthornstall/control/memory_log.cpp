#include "hawthornstall/control/memory_log.hpp"

#include "hawthornstall/control/entry_size.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace hawthornstall::control {

std::optional<std::uint64_t> memory_log::term_at(std::uint64_t index) const {
    if (index < base_.index || index > last().index) {
        return std::nullopt;
    }
    return index == base_.index ? base_.term : entries_from(index).front().position.term;
}

std::span<const log_entry> memory_log::entries_from(std::uint64_t first) const {
    const std::span all{entries_};
    return all.subspan(std::min<std::size_t>(first - base_.index - 1, all.size()));
}

std::size_t memory_log::bytes_after(std::uint64_t index) const {
    const auto before = std::min<std::size_t>(index - base_.index, entries_.size());
    return bytes_of_first(entries_.size()) - bytes_of_first(before);
}

const member_set& memory_log::members_at(std::uint64_t index) const {
    for (auto position = std::min(index, last().index); position > base_.index; --position) {
        const auto& entry = entries_[position - base_.index - 1];
        if (const auto* const members = std::get_if<member_set>(&entry.payload)) {
            return *members;
        }
    }
    return base_members_;
}

std::uint64_t memory_log::members_changed_at() const {
    const auto found = std::find_if(entries_.rbegin(), entries_.rend(), [](const log_entry& entry) {
        return std::holds_alternative<member_set>(entry.payload);
    });
    return found == entries_.rend() ? base_.index : found->position.index;
}

void memory_log::append(std::span<const log_entry> entries) {
    if (entries.empty()) {
        return;
    }
    const auto kept = entries.front().position.index - base_.index - 1;
    entries_.resize(std::min<std::size_t>(kept, entries_.size()));
    end_bytes_.resize(entries_.size());
    entries_.insert(entries_.end(), entries.begin(), entries.end());
    measure();
}

void memory_log::measure() {
    while (end_bytes_.size() < entries_.size()) {
        const auto count = end_bytes_.size();
        end_bytes_.push_back(bytes_of_first(count) + entry_bytes(entries_[count]));
    }
}

void memory_log::rebase(log_position base, member_set members) {
    if (term_at(base.index) == base.term) {
        const auto covered = static_cast<std::ptrdiff_t>(base.index - base_.index);
        entries_.erase(entries_.begin(), entries_.begin() + covered);
    } else {
        entries_.clear();
    }
    end_bytes_.clear();
    measure();
    base_ = base;
    base_members_ = std::move(members);
}

} // namespace hawthornstall::control
