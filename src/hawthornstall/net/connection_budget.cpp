#include "hawthornstall/net/connection_budget.hpp"

#include <algorithm>
#include <tuple>

namespace hawthornstall::net {
namespace detail {

/// What is left of the limit on bytes when connections have been closed because of it. Without a
/// margin the next few bytes would close another connection.
constexpr std::size_t kept_eighths = 7;
constexpr std::size_t eighths = 8;

/// The first bytes of a request arrive within this time after its connection was opened.
constexpr core::duration_ms new_connection_time{1'000};

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
    auto& added = connections_[connection];
    added.opened = now;
    added.since = now;
    held_bytes_ += limits_.connection_bytes;
}

void connection_budget::closed(std::uint64_t connection) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    if (found->second.closing) {
        --closing_;
    } else {
        held_bytes_ -= found->second.held() + limits_.connection_bytes;
    }
    connections_.erase(found);
}

void connection_budget::set(connection_state& state, std::size_t& amount, std::size_t bytes) {
    if (!state.closing) {
        held_bytes_ = held_bytes_ - amount + bytes;
    }
    amount = bytes;
}

std::size_t connection_budget::received_by(std::uint64_t connection) const {
    const auto found = connections_.find(connection);
    return found == connections_.end() ? 0 : found->second.received;
}

void connection_budget::received(std::uint64_t connection, std::size_t bytes, core::time_ms now) {
    const auto found = connections_.find(connection);
    if (found == connections_.end()) {
        return;
    }
    auto& state = found->second;
    set(state, state.received, state.received + bytes);
    if (state.current == phase::idle) {
        state.current = phase::receiving;
        state.since = now;
    }
}

void connection_budget::set_unsent(std::uint64_t connection, std::size_t bytes) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) {
        set(found->second, found->second.unsent, bytes);
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
    set(state, state.received, bytes);
    state.current = bytes > 0 ? phase::receiving : phase::idle;
    state.since = now;
}

std::vector<due_close> connection_budget::take_due(core::time_ms now) {
    std::vector<due_close> due;
    close_slow(now, due);
    close_largest(due);
    close_surplus(now, due);
    return due;
}

void connection_budget::close(connection_map::value_type& item, close_reason reason,
                              std::vector<due_close>& due) {
    held_bytes_ -= item.second.held() + limits_.connection_bytes;
    item.second.closing = true;
    ++closing_;
    due.push_back({.connection = item.first, .reason = reason, .held_bytes = item.second.held()});
}

void connection_budget::close_slow(core::time_ms now, std::vector<due_close>& due) {
    for (auto& item : connections_) {
        const auto& state = item.second;
        if (!state.closing && state.current == phase::receiving &&
            now - state.since > limits_.arrival_time) {
            close(item, close_reason::slow_request, due);
        }
    }
}

std::vector<connection_budget::connection_map::value_type*> connection_budget::open_connections() {
    std::vector<connection_map::value_type*> found;
    for (auto& item : connections_) {
        if (!item.second.closing) {
            found.push_back(&item);
        }
    }
    return found;
}

void connection_budget::close_largest(std::vector<due_close>& due) {
    if (held_bytes_ <= limits_.max_bytes) {
        return;
    }
    auto candidates = open_connections();
    std::ranges::stable_sort(candidates, [](const auto* first, const auto* second) {
        return first->second.held() > second->second.held();
    });
    const auto kept = limits_.max_bytes / detail::eighths * detail::kept_eighths;
    for (auto* const item : candidates) {
        if (held_bytes_ <= kept) {
            return;
        }
        close(*item, close_reason::too_many_bytes, due);
    }
}

void connection_budget::close_surplus(core::time_ms now, std::vector<due_close>& due) {
    if (connections() <= limits_.max_connections) {
        return;
    }
    const auto surplus = connections() - limits_.max_connections;
    // Group, phase, and time: what sorts first is closed first.
    const auto order_of = [&](const connection_map::value_type& item) {
        const auto& state = item.second;
        if (state.rank() == phase::open) {
            return std::tuple{2, phase::open, -core::to_count(state.opened)};
        }
        if (now - state.opened < detail::new_connection_time) {
            return std::tuple{1, phase::idle, core::to_count(state.opened)};
        }
        return std::tuple{0, state.rank(), core::to_count(state.since)};
    };
    auto candidates = open_connections();
    std::ranges::stable_sort(candidates, [&](const auto* first, const auto* second) {
        return order_of(*first) < order_of(*second);
    });
    for (std::size_t index = 0; index < surplus; ++index) {
        close(*candidates[index], close_reason::too_many_connections, due);
    }
}

} // namespace hawthornstall::net
