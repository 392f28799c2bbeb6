#pragma once

/// A target, a front end and start messages for tests of one target.

#include "hawthornstall/discovery/target_record.hpp"
#include "hawthornstall/runs/front_end_liveness.hpp"
#include "hawthornstall/runs/run_messages.hpp"

#include <cstdint>
#include <string>

namespace hawthornstall::runs {

inline constexpr core::time_ms start_time = core::from_count(1'000'000);
inline constexpr core::resources two_tasks{.cpu_millis = 64'000, .memory_mb = 1'000};
inline constexpr core::resources one_task{.cpu_millis = 27'000, .memory_mb = 64};

/// A target with room for two tasks.
inline discovery::target_record make_record(std::uint64_t incarnation = 1) {
    return {.id = "w-1",
            .incarnation = incarnation,
            .sequence = 1,
            .service = "restock",
            .address = "10.0.0.1:80",
            .zone = "bilbao",
            .labels = {},
            .capacity = two_tasks};
}

inline const std::string front_end = "front";

/// Later than the end of any test.
inline constexpr core::time_ms far_future = start_time + core::duration_ms{1'000'000};

/// A sign of life of a front end whose clock shows the same time as the holder's.
inline net::sign_of_life alive_at(core::time_ms time) {
    return {.at = time, .peer_time = time};
}

/// A front end that stays alive.
inline const front_end_liveness& live_front_ends() {
    static const front_end_liveness front_ends = [] {
        front_end_liveness result;
        result.update(front_end, alive_at(far_future));
        return result;
    }();
    return front_ends;
}

/// Start message for a task of one job.
inline start_run make_start_run(std::uint64_t key, std::uint32_t index) {
    return {.scheduler = "s",
            .key = key,
            .target = "w-1",
            .run = {.task = {"job", 0, index}, .number = 1},
            .specification = "spec",
            .resources = one_task,
            .caller_leaves_at = far_future};
}

} // namespace hawthornstall::runs
