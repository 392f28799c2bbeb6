#pragma once

/// Bounded memory of answered edits, by which a resent edit receives its first answer.

#include "hawthornstall/control/document_edit.hpp"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <tuple>
#include <vector>

namespace hawthornstall::control {

/// Edit identifiers are scoped by team, so that one team cannot take another's identifiers.
struct edit_key {
    std::string team;
    std::string edit_id;

    bool operator==(const edit_key&) const = default;
    bool operator<(const edit_key& other) const {
        return std::tie(team, edit_id) < std::tie(other.team, other.edit_id);
    }
};

/// One answered edit.
struct remembered_edit {
    edit_key key;
    std::uint64_t fingerprint = 0;
    edit_answer answer;

    bool operator==(const remembered_edit&) const = default;
};

/// Remembers the latest `capacity` answered edits and forgets the oldest beyond them.
class edit_memory {
public:
    explicit edit_memory(std::size_t capacity) : capacity_(capacity) {}

    [[nodiscard]] const remembered_edit* find(const edit_key& key) const;

    /// `edit.key` must not be remembered yet.
    void remember(remembered_edit edit);

    /// Remembered edits, oldest first.
    [[nodiscard]] std::vector<remembered_edit> entries() const;

    void restore(std::span<const remembered_edit> entries);

private:
    std::size_t capacity_;
    std::map<edit_key, remembered_edit> by_key_;
    std::deque<edit_key> oldest_first_;
};

} // namespace hawthornstall::control
