#include "hawthornstall/runs/fake_worker.hpp"
#include "hawthornstall/runs/sample_target.hpp"
#include "hawthornstall/runs/target_session.hpp"

#include <doctest/doctest.h>

#include <random>
#include <vector>

namespace hawthornstall::runs {
namespace {

using core::duration_ms;

/// Simulates a session and a worker with random starts and stops, over a network that loses answers
/// and delays calls.
class unreliable_network_simulation {
public:
    explicit unreliable_network_simulation(unsigned seed)
        : random_(seed), worker_(two_tasks, duration_ms{300}, 5'000) {}

    void run() {
        target_session session{make_record(), 10, run_bounds{}, live_front_ends(), now_};
        constexpr int steps = 2'000;
        for (int step = 0; step < steps; ++step) {
            now_ += duration_ms{5};
            if (chance(10)) {
                ++key_;
                session.start(front_end, make_start_run(key_, static_cast<std::uint32_t>(key_)),
                              now_);
                ++started;
            }
            if (key_ > 0 && chance(2)) {
                session.stop({"s", key_}, now_);
            }
            session.tick(now_);
            for (auto effects = session.take_effects();
                 !effects.calls.empty() || !effects.reports.empty();
                 effects = session.take_effects()) {
                reported += effects.reports.size();
                for (const auto& call : effects.calls) {
                    send(session, call);
                }
            }
            process_delayed_calls(session);
        }
        worker_.advance(now_);
        open = started - reported;
        over_capacity = worker_.over_capacity;
    }

    std::size_t started = 0;
    std::size_t reported = 0;
    std::size_t open = 0;
    bool over_capacity = false;

private:
    struct delayed_call {
        core::time_ms due{};
        target_call call;
        bool answer_lost = false;
    };

    bool chance(int percent) {
        return std::uniform_int_distribution<int>{1, 100}(random_) <= percent;
    }

    void send(target_session& session, const target_call& call) {
        constexpr int loss_percent = 8;
        if (chance(loss_percent)) {
            const auto delay = std::uniform_int_distribution<int>{300, 12'000}(random_);
            delayed_.push_back({now_ + duration_ms{delay}, call, true});
            delayed_.push_back({now_ + call.timeout, call, false});
            return;
        }
        session.answered(call.number, worker_.execute(call, now_), now_);
    }

    /// Executes delayed calls, whose answers are lost, and reports timeouts to the session.
    void process_delayed_calls(target_session& session) {
        for (std::size_t index = 0; index < delayed_.size();) {
            if (now_ < delayed_[index].due) {
                ++index;
                continue;
            }
            const auto item = delayed_[index];
            delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
            if (item.answer_lost) {
                (void)worker_.execute(item.call, now_);
            } else {
                session.answered(item.call.number,
                                 {.fault = call_fault::unanswered, .reason = "lost"}, now_);
            }
        }
    }

    std::mt19937 random_;
    core::time_ms now_ = start_time;
    fake_worker worker_;
    std::uint64_t key_ = 0;
    std::vector<delayed_call> delayed_;
};

// Guards against reserving the same resources twice when calls are executed long after their
// timeout, and against runs whose end is never reported.
TEST_CASE("late and lost calls neither exceed the capacity nor leave runs open") {
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        unreliable_network_simulation simulation{seed};
        simulation.run();
        CHECK_FALSE(simulation.over_capacity);
        CHECK(simulation.started > 100);
        CHECK(simulation.open <= 3);
    }
}

} // namespace
} // namespace hawthornstall::runs
