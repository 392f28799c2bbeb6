#pragma once

/// Rows that one host publishes to its peers; also the peers' copies of them.

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

/// Most rows of a table; bounds what a damaged message can make a peer allocate.
constexpr std::uint32_t max_slots = 65'536;

/// Announcements in numbered slots, so that a renewal needs no name. A slot is reused after its
/// row was removed; the version tells which meaning of the slots a message refers to.
class target_table {
public:
    [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
    [[nodiscard]] std::uint32_t slot_count() const noexcept {
        return static_cast<std::uint32_t>(rows_.size());
    }

    /// Row at `slot`, or nullptr when it is empty.
    [[nodiscard]] const core::target_announcement* row(std::uint32_t slot) const;

    /// Slot of the row of `name`.
    [[nodiscard]] std::optional<std::uint32_t> slot_of(std::string_view name) const;

    /// Sets the row of `news.name` in its slot or a free one and moves on by one version. Returns
    /// the change to publish, empty when the table is full.
    std::optional<table_change> put(const core::target_announcement& news);

    /// Empties `slot` and moves on by one version. Returns the change to publish.
    table_change remove(std::uint32_t slot);

    /// Follows the changes of the host whose copy this is. False when a slot is out of range.
    [[nodiscard]] bool apply(std::span<const table_change> changes, std::uint64_t version);

    /// Replaces all rows. False when a slot is out of range.
    [[nodiscard]] bool replace(std::span<const table_change> rows, std::uint64_t version);

    /// All rows that are not empty.
    [[nodiscard]] std::vector<table_change> rows() const;

    /// Hash of the slots, names and stamps of all rows.
    [[nodiscard]] std::uint64_t digest() const;

private:
    void set(std::uint32_t slot, std::optional<core::target_announcement> content);

    std::vector<std::optional<core::target_announcement>> rows_;
    std::map<std::string, std::uint32_t, std::less<>> slots_; ///< Index of rows_ by name.
    std::uint64_t version_ = 0;
};

} // namespace hawthornstall::membership
