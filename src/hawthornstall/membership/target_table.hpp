#pragma once

/// Table of announcements that one host publishes to its peers, and of which each peer holds a
/// copy.

#include "hawthornstall/membership/messages.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::membership {

/// Limit on the rows of a table; bounds the memory that a corrupt message can make a peer allocate.
constexpr std::uint32_t max_slots = 65'536;

/// Announcements in numbered slots, so that a renewal needs no target name. A slot is reused after
/// its row was removed; the version in a message tells to which assignment of slots it refers.
class target_table {
public:
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] std::uint32_t slot_count() const noexcept {
        return static_cast<std::uint32_t>(rows_.size());
    }

    /// Row at `slot`, or nullptr if it is empty.
    [[nodiscard]] const core::target_announcement* row(std::uint32_t slot) const;

    /// Slot of the row of `name`.
    [[nodiscard]] std::optional<std::uint32_t> slot_of(std::string_view name) const;

    /// Sets the target's row in its slot or a free one, and increments the version. Returns the
    /// change to publish; empty if the table is full.
    std::optional<table_change> put(const core::target_announcement& announcement);

    /// Empties `slot` and increments the version. Returns the change to publish.
    table_change remove(std::uint32_t slot);

    /// Applies changes published by the host of which this is a copy. Returns false if a slot is
    /// out of range.
    [[nodiscard]] bool apply(std::span<const table_change> changes, std::uint64_t version);

    /// Replaces all rows. Returns false if a slot is out of range.
    [[nodiscard]] bool replace(std::span<const table_change> rows, std::uint64_t version);

    /// All rows that are not empty.
    [[nodiscard]] std::vector<table_change> rows() const;

    /// Hash of the slots, names and stamps of all rows.
    [[nodiscard]] std::uint64_t digest() const;

private:
    void set(std::uint32_t slot, std::optional<core::target_announcement> content);

    std::vector<std::optional<core::target_announcement>> rows_;
    std::map<std::string, std::uint32_t, std::less<>> slots_; ///< Slots by target name.
    std::uint64_t version_ = 0;
};

} // namespace hawthornstall::membership
