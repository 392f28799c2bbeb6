#include "hawthornstall/net/connection_budget.hpp"

#include <algorithm>

namespace hawthornstall::net {
namespace detail {

/// What is left of the limit on bytes when connections have been closed because of it. Without a
/// margin the next few bytes would close another connection.
constexpr std::size_t kept_eighths = 7;
constexpr std::size_t eighths = 8;

} // namespace detail

std::string_view to_string(close_reason reason) noexcept {
    switch (reason) {
    case close_reason::too_many_bytes:
        return "too many bytes are held for clients";
    case close_reason::too_many_connections:
        return "too many connections";
    case close_reason::slow_request:
        break;
    }
    return "the request arrives too slowly";
}

void connection_budget::opened(std::uint64_t connection, core::time_ms now) {
    connections_[connection].since = now;
}

void connection_budget::closed(std::uint64_t connection) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        held_bytes_ -= found->second.held();
        connections_.erase(found);
    }
}

void connection_budget::set(std::size_t& amount, std::size_t bytes) {
    held_bytes_ = held_bytes_ - amount + bytes;
    amount = bytes;
}

void connection_budget::received(std::uint64_t connection, std::size_t bytes, core::time_ms now) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    auto& state = found->second;
    set(state.received, state.received + bytes);
    if (state.current == phase::idle) {
        state.current = phase::receiving;
        state.since = now;
    }
}

void connection_budget::set_unsent(std::uint64_t connection, std::size_t bytes) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        set(found->second.unsent, bytes);
    }
}

void connection_budget::request_complete(std::uint64_t connection) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        found->second.current = phase::open;
    }
}

void connection_budget::request_answered(std::uint64_t connection, std::size_t bytes,
                                         core::time_ms now) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    auto& state = found->second;
    set(state.received, bytes);
    state.current = bytes > 0 ? phase::receiving : phase::idle;
    state.since = now;
}

std::vector<due_close> connection_budget::take_due(core::time_ms now) {
    std::vector<due_close> due;
    close_slow(now, due);
    close_largest(due);
    close_surplus(due);
    return due;
}

void connection_budget::close(connection_map::value_type& item, close_reason reason,
                              std::vector<due_close>& due) {
    item.second.closing = true;
    due.push_back({.connection = item.first, .reason = reason, .held_bytes = item.second.held()});
}

void connection_budget::close_slow(core::time_ms now, std::vector<due_close>& due) {
    for (auto& item : connections_) {
        const auto& state = item.second;
        if (!state.closing && state.current == phase::receiving &&
            now - state.since > limits_.request_time) {
            close(item, close_reason::slow_request, due);
        }
    }
}

void connection_budget::close_largest(std::vector<due_close>& due) {
    if (held_bytes_ <= limits_.max_bytes) {
        return;
    }
    std::vector<connection_map::value_type*> candidates;
    auto remaining = held_bytes_;
    for (auto& item : connections_) {
        if (item.second.closing) {
            remaining -= item.second.held();
        } else {
            candidates.push_back(&item);
        }
    }
    std::ranges::stable_sort(candidates, [](const auto* first, const auto* second) {
        return first->second.held() > second->second.held();
    });
    const auto kept = limits_.max_bytes / detail::eighths * detail::kept_eighths;
    for (auto* const item : candidates) {
        if (remaining <= kept) {
            return;
        }
        remaining -= item->second.held();
        close(*item, close_reason::too_many_bytes, due);
    }
}

void connection_budget::close_surplus(std::vector<due_close>& due) {
    std::vector<connection_map::value_type*> candidates;
    for (auto& item : connections_) {
        if (!item.second.closing) {
            candidates.push_back(&item);
        }
    }
    if (candidates.size() <= limits_.max_connections) {
        return;
    }
    const auto surplus = candidates.size() - limits_.max_connections;
    // Idle connections first, then those that send a request, each the oldest first; connections
    // with an open request last, the newest first.
    std::ranges::stable_sort(candidates, [](const auto* first, const auto* second) {
        const auto& left = first->second;
        const auto& right = second->second;
        if (left.current != right.current) {
            return left.current < right.current;
        }
        return left.current == phase::open ? first->first > second->first
                                           : left.since < right.since;
    });
    for (std::size_t index = 0; index < surplus; ++index) {
        close(*candidates[index], close_reason::too_many_connections, due);
    }
}

} // namespace hawthornstall::net
