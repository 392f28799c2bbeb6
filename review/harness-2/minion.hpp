#pragma once

/// A stand-in minion that follows the pages on running tasks and on service discovery.

#include "http.hpp"
#include "record.hpp"

#include <nlohmann/json.hpp>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace review {

/// What a minion announces.
struct minion_settings {
    std::string id{};
    std::string address{};
    std::string zone{};
    std::string service{};
    std::vector<std::string> labels{};
    std::vector<std::string> control{}; ///< Addresses of the control machines.
};

/// What happens to a minion once it has started a task of `job`; times in ms after that start.
struct disturbance {
    std::string job{};
    std::vector<int>
        late_calls_at{}; ///< The next call of /api/hold from then on is carried out late.
    int late_by = 0;
    int late_claims =
        0; ///< That many calls with a higher fencing token are carried out late as well.
};

/// Runs tasks whose specification begins with their run time in ms. All that it starts and ends is
/// written to the record.
class minion {
public:
    minion(minion_settings settings, record& log);
    ~minion();
    minion(const minion&) = delete;
    minion& operator=(const minion&) = delete;
    minion(minion&&) = delete;
    minion& operator=(minion&&) = delete;

    /// Crashes and starts again under the same id, with other labels: all that ran has ended, and
    /// nothing of before is known.
    void restart(std::vector<std::string> labels);

    /// Lets a disturbance happen when a task of its job starts here.
    void disturb(disturbance plan);

    /// Takes the plan back if it has not begun. Returns whether it has.
    bool keep_disturbance_if_begun();

    /// Number of calls that have arrived.
    [[nodiscard]] std::uint64_t calls() const noexcept { return calls_; }

private:
    using run_id = std::pair<std::string, std::uint64_t>;

    struct running_task {
        std::int64_t started = 0;
        std::int64_t until = 0;
    };

    struct ended_task {
        std::uint64_t number = 0;
        run_id run{};
        std::string how{};
    };

    /// A call that is carried out late. Its lease counts from then.
    struct late_call {
        std::int64_t due = 0; ///< Steady time in ms.
        std::int64_t lease = 0;
        std::uint64_t token = 0;
    };

    /// What ends with a life of the minion.
    struct life {
        std::uint64_t born = 0;       ///< Unix time in ms.
        std::int64_t clock_start = 0; ///< Steady time in ms at which the clock shows 1.
        std::uint64_t sequence = 0;
        std::uint64_t token = 0;
        std::int64_t lease_end = 0; ///< On the minion's clock.
        std::map<run_id, running_task> running{};
        std::vector<ended_task> ended{};
        std::map<std::string, std::uint64_t> highest_ended{};
        std::uint64_t last_end = 0;
    };

    [[nodiscard]] http_message serve(const http_message& request);
    [[nodiscard]] http_message start(const nlohmann::json& call);
    [[nodiscard]] http_message stop(const nlohmann::json& call);
    [[nodiscard]] http_message list(const nlohmann::json& call, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] http_message reject(const char* reason) const;
    [[nodiscard]] http_message accept(nlohmann::json body) const;
    [[nodiscard]] bool is_fenced(const nlohmann::json& call);
    void extend_lease(const nlohmann::json& call);
    [[nodiscard]] bool delay_call(const nlohmann::json& call);
    void execute_late_calls();
    [[nodiscard]] std::int64_t clock() const;
    void end(const run_id& run, const char* how);
    void advance();
    void send_heartbeats();
    [[nodiscard]] std::string next_heartbeat();

    minion_settings settings_;
    record* log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    life life_;
    disturbance disturbance_;
    std::int64_t disturbed_since_ = 0; ///< Steady time in ms; 0 before the disturbance.
    std::vector<late_call> late_calls_;
    std::atomic<std::uint64_t> calls_{0};
    bool stopping_ = false;
    bool heartbeat_due_ = true;
    std::unique_ptr<http_server> server_;
    std::thread advance_thread_;
    std::thread heartbeat_thread_;
};

} // namespace review
