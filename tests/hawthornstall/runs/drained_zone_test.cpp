#include "hawthornstall/runs/capacity_pool.hpp"
#include "hawthornstall/runs/job_scheduler.hpp"
#include "hawthornstall/runs/target_holder.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

constexpr core::time_ms start_time = core::from_count(1'000'000);
constexpr core::time_ms wall_time = core::from_count(1'790'000'000'000);
constexpr core::resources one_task{.cpu_millis = 32'000};

held_target make_target(const std::string& id, const std::string& zone) {
    return {.id = id,
            .incarnation = 1,
            .service = "restock",
            .zone = zone,
            .capacity = {.cpu_millis = 64'000},
            .usable = true};
}

/// Two targets in each of two zones.
target_report two_zones() {
    return {.targets = {make_target("b-1", "bilbao"), make_target("b-2", "bilbao"),
                        make_target("o-1", "oviedo"), make_target("o-2", "oviedo")}};
}

struct pool_case {
    std::string_view name;
    std::vector<std::vector<std::string>> drains; ///< One set after the other.
    std::string picked;                           ///< Empty: no target.
    std::int64_t usable_cpu_millis = 0;
};

// Guards against a task on a drained target, against room that is still counted, and against
// targets that stay out of use after the end of a drain.
TEST_CASE("the pool uses the targets of the zones that are not drained") {
    const std::array cases{
        pool_case{"no drain", {}, "b-1", 256'000},
        pool_case{"one zone", {{"bilbao"}}, "o-1", 128'000},
        pool_case{"all zones", {{"bilbao", "oviedo"}}, "", 0},
        pool_case{"end of the drain", {{"bilbao"}, {}}, "b-1", 256'000},
        pool_case{"another zone", {{"bilbao"}, {"oviedo"}}, "b-1", 128'000},
        pool_case{"zone without targets", {{"pamplona"}}, "b-1", 256'000},
    };
    for (const bool reported_first : {true, false}) {
        for (const auto& item : cases) {
            CAPTURE(item.name);
            CAPTURE(reported_first);
            capacity_pool pool;
            if (reported_first) {
                pool.report("h", two_zones(), start_time);
            }
            for (const auto& zones : item.drains) {
                pool.set_drained_zones(zones);
            }
            if (!reported_first) {
                pool.report("h", two_zones(), start_time);
            }
            job_step step;
            step.resources = one_task;
            const auto chosen = pool.pick({.service = "restock", .step = &step}, start_time);
            CHECK((chosen ? chosen->target : std::string{}) == item.picked);
            CHECK(pool.usable_cpu_millis("restock") == item.usable_cpu_millis);
        }
    }
}

struct cold_case {
    std::string_view name;
    bool cold = false; ///< Of the target "b-1".
    int slow_runs = 0; ///< Runs on "o-1" that took twice as long as declared.
    std::string_view picked;
};

// Load: a zone comes back after a drain, and its targets are slow for a while. Guards against
// callers who pay for it while warm targets have room, and against warm targets that are far slower
// being preferred.
TEST_CASE("a cold target comes after warm ones that are up to one and a half times as slow") {
    const std::array cases{
        cold_case{"warm", false, 0, "b-1"},
        cold_case{"cold", true, 0, "o-1"},
        cold_case{"cold, the other twice as slow", true, 40, "b-1"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        capacity_pool pool;
        auto first = make_target("b-1", "bilbao");
        first.cold = item.cold;
        pool.report("h", {.targets = {first, make_target("o-1", "oviedo")}}, start_time);
        for (int run = 0; run < item.slow_runs; ++run) {
            pool.record_run_end("o-1", run_end::done, duration_ms{200}, duration_ms{100},
                                start_time);
        }
        job_step step;
        step.resources = one_task;
        const auto chosen = pool.pick({.service = "restock", .step = &step}, start_time);
        REQUIRE(chosen.has_value());
        CHECK(chosen->target == item.picked);
    }
}

// Guards against a target that stays behind the others after its start because its first runs were
// slow.
TEST_CASE("runs on a cold target do not count for its speed") {
    capacity_pool pool;
    auto first = make_target("b-1", "bilbao");
    first.cold = true;
    const auto other = make_target("o-1", "oviedo");
    pool.report("h", {.targets = {first, other}}, start_time);
    for (int run = 0; run < 40; ++run) {
        pool.record_run_end("b-1", run_end::done, duration_ms{300}, duration_ms{100}, start_time);
    }
    first.cold = false;
    pool.report("h", {.targets = {first, other}}, start_time);
    job_step step;
    step.resources = one_task;
    const auto chosen = pool.pick({.service = "restock", .step = &step}, start_time);
    REQUIRE(chosen.has_value());
    CHECK(chosen->target == "b-1");
}

job_request make_job(const std::string& id, std::uint32_t tasks) {
    job_step step;
    step.count = tasks;
    step.resources = one_task;
    step.estimated = duration_ms{100};
    return {.id = id,
            .specification = "spec",
            .steps = {step},
            .terms = {.service = "restock",
                      .max_attempts = 2,
                      .stretch = 1.6,
                      .latency_target = duration_ms{60},
                      .deadline = duration_ms{1'500}}};
}

/// Targets of the grants among `messages`, sorted.
std::vector<std::string> granted_targets(const std::vector<addressed_message>& messages) {
    std::vector<std::string> targets;
    for (const auto& item : messages) {
        if (const auto* const grant = std::get_if<grant_run>(&item.message)) {
            targets.push_back(grant->target);
        }
    }
    std::ranges::sort(targets);
    return targets;
}

// Load: jobs wait for room while a zone is drained and when it comes back. Guards against waiting
// tasks that start in the drained zone and against targets that stay idle afterwards.
TEST_CASE("waiting tasks start in the other zones and in the zone once its drain ends") {
    job_scheduler scheduler;
    scheduler.start_scheduling();
    scheduler.report("h", two_zones(), start_time);
    const auto now = start_time + duration_ms{1'500};
    const std::vector<std::string> drained{"bilbao"};
    scheduler.set_drained_zones(drained);
    scheduler.submit("f", {.number = 1, .job = make_job("a", 6)}, now);
    scheduler.place(now);
    CHECK(granted_targets(scheduler.take_effects().messages) ==
          std::vector<std::string>{"o-1", "o-1", "o-2", "o-2"});
    scheduler.set_drained_zones({});
    scheduler.place(now);
    CHECK(granted_targets(scheduler.take_effects().messages) ==
          std::vector<std::string>{"b-1", "b-1"});
}

// Guards against callers that wait for their deadline although all targets are drained.
TEST_CASE("a job is refused at once while all zones are drained") {
    job_scheduler scheduler;
    scheduler.start_scheduling();
    scheduler.report("h", two_zones(), start_time);
    const std::vector<std::string> drained{"bilbao", "oviedo"};
    scheduler.set_drained_zones(drained);
    scheduler.submit("f", {.number = 1, .job = make_job("a", 1)}, start_time + duration_ms{1'500});
    const auto messages = scheduler.take_effects().messages;
    REQUIRE(messages.size() == 1);
    const auto& answer = std::get<job_ended>(messages[0].message);
    CHECK(answer.result == job_result::refused);
    CHECK(answer.retry_after > duration_ms{0});
}

struct start_case {
    std::string_view name;
    std::vector<std::string> drained;
    bool expect_start = true;
};

// Guards against a start in a drained zone that a scheduler has decided which does not know of the
// drain yet.
TEST_CASE("a holder rejects starts on the targets of a drained zone") {
    const std::array cases{
        start_case{"no drain", {}, true},
        start_case{"its zone", {"bilbao"}, false},
        start_case{"another zone", {"oviedo"}, true},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const host_membership hosts{{.host = {.name = "a", .zone = "bilbao", .weight = 0.25}}};
        discovery::target_directory directory;
        directory.announce({.id = "w-1",
                            .incarnation = 1,
                            .sequence = 1,
                            .service = "restock",
                            .address = "10.0.0.1:80",
                            .zone = "bilbao",
                            .labels = {},
                            .capacity = {.cpu_millis = 64'000}},
                           start_time);
        target_holder holder{{}, 1, start_time};
        auto now = start_time + duration_ms{1'500};
        holder.tick(directory, hosts, now, wall_time);
        for (const auto& call : holder.take_effects().calls) {
            holder.answered(call, {.clock_ms = 1, .listing = {.incarnation = 1}}, now);
        }
        holder.set_drained_zones(item.drained);
        holder.front_end_alive("f", {.at = now, .peer_time = now});
        holder.start("f", {.scheduler = "s", .key = 5, .target = "w-1", .caller_leaves_at = now},
                     now);
        const auto effects = holder.take_effects();
        const bool is_started = std::ranges::any_of(effects.calls, [](const target_call& call) {
            return std::holds_alternative<start_call>(call.request);
        });
        CHECK(is_started == item.expect_start);
        const bool is_rejected = std::ranges::any_of(effects.messages, [](const auto& message) {
            const auto* const ended = std::get_if<run_ended>(&message.message);
            return ended != nullptr && ended->end == run_end::rejected;
        });
        CHECK(is_rejected == !item.expect_start);

        // The report tells schedulers which targets they can use.
        now += duration_ms{600};
        holder.tick(directory, hosts, now, wall_time);
        for (const auto& message : holder.take_effects().messages) {
            if (const auto* const report = std::get_if<target_report>(&message.message)) {
                REQUIRE(report->targets.size() == 1);
                CHECK(report->targets[0].usable == item.expect_start);
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::runs
