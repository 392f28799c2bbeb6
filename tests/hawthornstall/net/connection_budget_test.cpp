#include "hawthornstall/net/connection_budget.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string_view>
#include <vector>

namespace hawthornstall::net {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);

constexpr connection_limits small_limits{.max_bytes = 800,
                                         .max_connections = 3,
                                         .arrival_time = duration_ms{30'000},
                                         .connection_bytes = 0};

struct budget_case {
    std::string_view name;
    std::function<void(connection_budget&)> act;
    duration_ms after{}; ///< Time until the check.
    std::vector<due_close> due;
    std::size_t held = 0; ///< Before connections are closed.
};

/// Opens the connections 1 to `count`, one each ms.
void open(connection_budget& budget, std::uint64_t count) {
    for (std::uint64_t number = 1; number <= count; ++number) {
        budget.opened(number, start_time + duration_ms{static_cast<int>(number)});
    }
}

// Load: a few clients send far more than the limits allow, beside callers who wait for an answer.
// Guards against memory that is not limited, against bytes that are counted twice or forgotten, and
// against closing the connection of a caller before that of a client that holds more.
TEST_CASE("connections beyond the limits are closed in the order of what they cost") {
    const std::array cases{
        budget_case{"within the limits",
                    [](connection_budget& budget) {
                        open(budget, 3);
                        budget.received(1, 400, start_time);
                        budget.request_complete(1);
                        budget.set_unsent(2, 400);
                    },
                    {},
                    {},
                    800},
        budget_case{"the largest goes first, whatever it holds",
                    [](connection_budget& budget) {
                        open(budget, 3);
                        budget.received(1, 300, start_time);
                        budget.request_complete(1);
                        budget.set_unsent(2, 500);
                        budget.received(3, 100, start_time);
                    },
                    {},
                    {{2, close_reason::too_many_bytes, 500}},
                    900},
        budget_case{
            "as many as needed, until seven eighths are left",
            [](connection_budget& budget) {
                open(budget, 3);
                budget.received(1, 650, start_time);
                budget.received(2, 640, start_time);
                budget.received(3, 100, start_time);
            },
            {},
            {{1, close_reason::too_many_bytes, 650}, {2, close_reason::too_many_bytes, 640}},
            1'390},
        budget_case{"a request counts once, until it is answered",
                    [](connection_budget& budget) {
                        open(budget, 1);
                        budget.received(1, 500, start_time);
                        budget.request_complete(1);
                        budget.received(1, 200, start_time);
                        budget.request_answered(1, 200, start_time);
                    },
                    {},
                    {},
                    200},
        budget_case{"a closed connection holds nothing",
                    [](connection_budget& budget) {
                        open(budget, 2);
                        budget.received(1, 5'000, start_time);
                        budget.set_unsent(1, 5'000);
                        budget.closed(1);
                        budget.received(1, 7, start_time);
                    },
                    {},
                    {},
                    0},
        budget_case{"the connection that was idle for the longest makes room",
                    [](connection_budget& budget) {
                        open(budget, 4);
                        budget.received(1, 10, start_time);
                        budget.request_complete(1);
                        budget.received(2, 10, start_time);
                    },
                    duration_ms{2'000},
                    {{3, close_reason::too_many_connections, 0}},
                    20},
        budget_case{"without an idle one but a new one, that whose request began first",
                    [](connection_budget& budget) {
                        open(budget, 3);
                        for (const std::uint64_t number : {1, 2, 3}) {
                            budget.received(number, 10,
                                            start_time +
                                                duration_ms{static_cast<int>(10 - number)});
                        }
                        budget.opened(4, start_time + duration_ms{2'000});
                    },
                    duration_ms{2'000},
                    {{3, close_reason::too_many_connections, 10}},
                    30},
        budget_case{"if all are new, the oldest",
                    [](connection_budget& budget) { open(budget, 4); },
                    duration_ms{10},
                    {{1, close_reason::too_many_connections, 0}},
                    0},
        budget_case{"a client that does not read its answer does not wait for it",
                    [](connection_budget& budget) {
                        open(budget, 4);
                        for (const std::uint64_t number : {1, 2, 3}) {
                            budget.received(number, 10, start_time);
                            budget.request_complete(number);
                        }
                        budget.received(4, 10, start_time);
                        budget.request_complete(4);
                        budget.set_unsent(2, 5);
                    },
                    duration_ms{2'000},
                    {{2, close_reason::too_many_connections, 15}},
                    45},
        budget_case{"if each waits for an answer, the newest",
                    [](connection_budget& budget) {
                        open(budget, 4);
                        for (const std::uint64_t number : {1, 2, 3, 4}) {
                            budget.received(number, 10, start_time);
                            budget.request_complete(number);
                        }
                    },
                    duration_ms{2'000},
                    {{4, close_reason::too_many_connections, 10}},
                    40},
        budget_case{"a request that arrives too slowly",
                    [](connection_budget& budget) {
                        open(budget, 3);
                        budget.received(1, 10, start_time);
                        budget.received(2, 10, start_time);
                        budget.request_complete(2);
                        budget.received(1, 10, start_time + duration_ms{29'000});
                    },
                    duration_ms{30'001},
                    {{1, close_reason::slow_request, 20}},
                    30},
        budget_case{"an idle connection stays open",
                    [](connection_budget& budget) {
                        open(budget, 1);
                        budget.received(1, 10, start_time);
                        budget.request_complete(1);
                        budget.request_answered(1, 0, start_time);
                    },
                    duration_ms{600'000},
                    {},
                    0},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        connection_budget budget{small_limits};
        item.act(budget);
        CHECK(budget.held_bytes() == item.held);
        const auto due = budget.take_due(start_time + item.after);
        CHECK(due == item.due);
        // Each is returned once, and what it held does not count any more.
        std::size_t closed = 0;
        for (const auto& closing : due) {
            closed += closing.held_bytes;
        }
        CHECK(budget.held_bytes() == item.held - closed);
        CHECK(budget.take_due(start_time + item.after).empty());
    }
}

// Guards against further connections that are closed while those that were closed before are not
// freed yet.
TEST_CASE("bytes of connections that are being closed do not count") {
    connection_budget budget{small_limits};
    open(budget, 3);
    budget.received(1, 700, start_time);
    budget.received(2, 200, start_time);
    budget.request_complete(2);
    CHECK(budget.take_due(start_time).size() == 1);
    budget.received(1, 700, start_time);
    budget.received(2, 100, start_time);
    CHECK(budget.take_due(start_time).empty());
    CHECK(budget.held_bytes() == 300);
    budget.closed(1);
    CHECK(budget.held_bytes() == 300);
    CHECK(budget.connections() == 2);
}

// Guards against many idle connections that cost memory without a counted byte.
TEST_CASE("each connection counts beside its bytes") {
    connection_budget budget{{.max_bytes = 10'000, .connection_bytes = 4'096}};
    open(budget, 2);
    CHECK(budget.held_bytes() == 8'192);
    CHECK(budget.take_due(start_time).empty());
    budget.opened(3, start_time);
    CHECK(budget.take_due(start_time).size() == 1);
}

} // namespace
} // namespace hawthornstall::net
