#include "hawthornstall/scheduling/slot_capacity.hpp"
#include "hawthornstall/scheduling/target_pool.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::scheduling {
namespace {

using core::duration_ms;
using pool_type = target_pool<slot_capacity>;

constexpr core::time_ms start_time = core::from_count(1'000);

std::vector<target_id> add_targets(pool_type& pool, std::size_t count) {
    std::vector<target_id> targets;
    for (std::size_t index = 0; index < count; ++index) {
        targets.push_back(pool.upsert("target-" + std::to_string(index), {.slots = 8}, true));
    }
    return targets;
}

/// Lets the pool learn the speed `value` for a target, and updates its index.
void set_learned_speed(pool_type& pool, target_id target, double value) {
    for (int sample = 0; sample < 200; ++sample) {
        pool.speed(target).observe(1.0 / value);
    }
    pool.on_success(target);
}

// Guards against ejecting so many targets that the remaining ones are overloaded.
TEST_CASE("at most 30 % of the known targets are ejected") {
    struct scenario {
        std::size_t known;
        std::size_t failing;
        std::size_t ejected;
    };
    const std::array scenarios{scenario{10, 2, 2}, scenario{10, 10, 3}, scenario{50, 50, 15},
                               scenario{3, 3, 0}};
    for (const auto& item : scenarios) {
        CAPTURE(item.known);
        CAPTURE(item.failing);
        pool_type pool{core::task_shape{}, ejection_rules{}};
        const auto targets = add_targets(pool, item.known);
        for (int round = 0; round < 5; ++round) {
            for (std::size_t index = 0; index < item.failing; ++index) {
                pool.on_failure(targets[index], start_time);
            }
        }
        CHECK(pool.excluded() == item.ejected);
        CHECK(pool.pick(fastest_free{}, {}, std::nullopt).has_value());
    }
}

// Guards against a target that is readmitted with all its slots while it still fails, and against
// one that is never readmitted.
TEST_CASE("an ejected target gets single probes at doubling intervals until it answers") {
    pool_type pool{core::task_shape{}, ejection_rules{}};
    const auto targets = add_targets(pool, 10);
    const auto bad = targets[0];
    auto now = start_time;
    for (int failure = 0; failure < 3; ++failure) {
        pool.on_failure(bad, now);
    }
    for (const auto expected : {duration_ms{1'000}, duration_ms{2'000}, duration_ms{4'000}}) {
        CHECK(pool.next_event() == now + expected);
        pool.advance(now + expected - duration_ms{1});
        CHECK_FALSE(pool.take_probe(true, now).has_value());
        now += expected;
        pool.advance(now);
        CHECK_FALSE(pool.take_probe(false, now).has_value());
        CHECK(pool.take_probe(true, now) == bad);
        pool.begin_attempt(bad);
        CHECK_FALSE(pool.take_probe(true, now).has_value());
        CHECK(pool.excluded() == 1);
        pool.on_failure(bad, now);
        pool.end_attempt(bad);
    }
    now += duration_ms{8'000};
    pool.advance(now);
    CHECK(pool.take_probe(true, now) == bad);
    pool.begin_attempt(bad);
    pool.on_success(bad);
    pool.end_attempt(bad);
    CHECK(pool.excluded() == 0);
    CHECK_FALSE(pool.next_event().has_value());
}

// Guards against tasks that start on a slow target although a fast one will soon be free, and
// against slow targets that stay idle while the queue is long.
TEST_CASE("a slow target is used only if waiting for a fast one does not pay off") {
    struct scenario {
        double work_ahead_ms;
        double waited_for_faster_ms;
        bool slow_target_used;
    };
    // One busy slot of speed 2, a free one of speed 0.25, and tasks of 100 ms at speed 1. The fast
    // slot ends the task after work_ahead / 2 + 50 ms, the slow one after 400 ms.
    const std::array scenarios{scenario{100.0, 0.0, false}, scenario{200.0, 0.0, false},
                               scenario{400.0, 0.0, true}, scenario{100.0, 450.0, true}};
    for (const auto& item : scenarios) {
        CAPTURE(item.work_ahead_ms);
        pool_type pool{core::task_shape{}, ejection_rules{}};
        const auto fast = pool.upsert("fast", {.slots = 1}, true);
        const auto slow = pool.upsert("slow", {.slots = 1}, true);
        set_learned_speed(pool, fast, 2.0);
        set_learned_speed(pool, slow, 0.25);
        const placement_choice choice{.expected_ms = 100.0,
                                      .work_ahead_ms = item.work_ahead_ms,
                                      .waited_for_faster_ms = item.waited_for_faster_ms};
        CHECK(pool.pick(wait_for_faster{}, choice, std::nullopt) == fast);
        pool.begin_attempt(fast);
        CHECK(pool.pick(fastest_free{}, choice, std::nullopt) == slow);
        const auto picked = pool.pick(wait_for_faster{}, choice, std::nullopt);
        CHECK(picked.has_value() == item.slow_target_used);
    }
}

// Guards against new work on a target that has left, and against an identifier that is reused while
// an attempt still refers to it.
TEST_CASE("a target that leaves gets no work and keeps its id until its last attempt ends") {
    pool_type pool{core::task_shape{}, ejection_rules{}};
    const auto first = pool.upsert("first", {.slots = 2}, true);
    pool.begin_attempt(first);
    pool.upsert("first", {.slots = 2}, false);
    CHECK_FALSE(pool.any_free());
    CHECK(pool.usable_slots() == 0);
    pool.remove("first");
    const auto second = pool.upsert("second", {.slots = 2}, true);
    CHECK(second != first);
    pool.end_attempt(first);
    CHECK(pool.upsert("third", {.slots = 2}, true) == first);
    CHECK(pool.known() == 2);
    CHECK(pool.usable_slots() == 4);
}

// Guards against new work, before the end of the last pause, on a target that has refused several
// tasks.
TEST_CASE("a target that is paused again stays paused until the later end") {
    struct scenario {
        std::vector<int> pauses_ms; ///< When each pause begins; each lasts 100 ms.
        int end_ms;
    };
    const std::array scenarios{scenario{{0}, 100}, scenario{{0, 50}, 150}, scenario{{0, 0}, 100},
                               scenario{{0, 50, 90}, 190}, scenario{{0, 100}, 200}};
    for (const auto& item : scenarios) {
        CAPTURE(item.end_ms);
        CAPTURE(item.pauses_ms.size());
        pool_type pool{core::task_shape{}, ejection_rules{}};
        const auto target = pool.upsert("target", {.slots = 2}, true);
        for (const auto begin : item.pauses_ms) {
            pool.advance(start_time + duration_ms{begin});
            pool.pause(target, start_time + duration_ms{begin + 100});
        }
        const auto end = start_time + duration_ms{item.end_ms};
        CHECK(pool.next_event() == end);
        pool.advance(end - duration_ms{1});
        CHECK_FALSE(pool.any_free());
        pool.advance(end);
        CHECK(pool.any_free());
        CHECK_FALSE(pool.next_event().has_value());
    }
}

// Guards against rounding errors that remain in the sum of speeds once no target is in service. The
// expected wait is the work divided by this sum: it was 700,000 years, and the refusal could not be
// read.
TEST_CASE("the usable speed is exactly 0 if no target is in service") {
    for (const double speed : {0.3, 0.7, 1.0, 1.7, 2.9}) {
        CAPTURE(speed);
        pool_type pool{core::task_shape{}, ejection_rules{}};
        const auto targets = add_targets(pool, 12);
        for (std::size_t index = 0; index < targets.size(); ++index) {
            set_learned_speed(pool, targets[index], speed + 0.1 * static_cast<double>(index));
        }
        for (std::size_t index = 0; index < targets.size(); ++index) {
            pool.upsert("target-" + std::to_string(index), {.slots = 8}, false);
        }
        CHECK(pool.usable_slots() == 0);
        CHECK(pool.usable_speed() == 0.0);
    }
}

} // namespace
} // namespace hawthornstall::scheduling
