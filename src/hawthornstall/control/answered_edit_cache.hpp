#pragma once

/// Bounded cache of answered edits, from which a resent edit receives its first answer.

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

/// An answered edit and the hash of its content, see content_hash().
struct answered_edit {
    edit_key key;
    std::uint64_t content_hash = 0;
    edit_answer answer;

    bool operator==(const answered_edit&) const = default;
};

/// Keeps the latest `capacity` answered edits and evicts the oldest.
class answered_edit_cache {
public:
    explicit answered_edit_cache(std::size_t capacity) : capacity_(capacity) {}

    /// The edit with this key, or null.
    [[nodiscard]] const answered_edit* find(const edit_key& key) const;

    /// Adds an edit, whose key must not be in the cache yet.
    void add(answered_edit edit);

    /// Cached edits, oldest first.
    [[nodiscard]] std::vector<answered_edit> entries() const;

    /// Replaces the content by `entries`, oldest first.
    void restore(std::span<const answered_edit> entries);

private:
    std::size_t capacity_;
    std::map<edit_key, answered_edit> by_key_;
    std::deque<edit_key> oldest_first_;
};

} // namespace hawthornstall::control
