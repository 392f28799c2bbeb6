#include "hawthornstall/entry/shard.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string_view>
#include <variant>

namespace hawthornstall::entry {
namespace {

constexpr core::duration_ms wall_offset{500'000'000};

shard::times at(core::duration_ms later) {
    const auto now = core::from_count(1'000'000) + later;
    return {.now = now, .wall = now + wall_offset};
}

std::ptrdiff_t count_runs(const shard_effects& effects) {
    return std::ranges::count_if(
        effects, [](const auto& effect) { return std::holds_alternative<run_task>(effect); });
}

struct replacement_case {
    std::string_view name;
    bool available; ///< As last passed to the shard.
    bool leaving;
    std::ptrdiff_t runs;
};

// Guards against tasks that a new scheduler starts on a target that was unavailable for the one
// before, for example because its lease has expired.
TEST_CASE("a new scheduler takes over which targets are available") {
    constexpr std::array cases{replacement_case{"available", true, false, 1},
                               replacement_case{"lease expired", false, false, 0},
                               replacement_case{"leaving", false, true, 0}};
    for (const auto& item : cases) {
        for (const bool replaced : {false, true}) {
            CAPTURE(item.name);
            CAPTURE(replaced);
            core::service_document document;
            document.service = "restock";
            shard subject{document, "zone-a", {.host = "h1", .incarnation = 1}, {}};
            core::target_announcement target;
            target.name = "t1";
            target.services = {"restock"};
            target.capacity.slots = 4;
            target.leaving = item.leaving;
            (void)subject.set_target(target, item.available, at({}));
            document.order = replaced ? core::queue_order::fair_share : document.order;
            subject.apply(document);
            (void)subject.tick(at(core::duration_ms{1}));
            core::job_request job;
            job.service = "restock";
            job.idempotent = true;
            job.deadline = core::duration_ms{5'000};
            job.tasks.push_back({"task", {}});
            CHECK(count_runs(subject.submit(job, {}, at(core::duration_ms{2}))) == item.runs);
        }
    }
}

} // namespace
} // namespace hawthornstall::entry
