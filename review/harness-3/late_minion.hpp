#pragma once

/// A stand-in minion that follows the pages on running tasks and on service discovery. It can
/// crash, stay away, and start again under its id, and it can carry one order out late.

#include "../harness-2/http.hpp"
#include "../harness-2/record.hpp"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review3 {

/// What a minion announces.
struct minion_settings {
    std::string id{};
    std::string address{};
    std::string zone{};
    std::string service{};
    std::vector<std::string> control{}; ///< Addresses of the control machines.
};

/// Runs tasks whose specification begins with their run time in ms. All that it starts and ends is
/// written to the record.
class late_minion {
public:
    late_minion(minion_settings settings, review::record& log);
    ~late_minion();
    late_minion(const late_minion&) = delete;
    late_minion& operator=(const late_minion&) = delete;
    late_minion(late_minion&&) = delete;
    late_minion& operator=(late_minion&&) = delete;

    /// Leaves the first start of a task of `job` unanswered and carries it out `late_by` ms later.
    void delay_first_start(std::string job, std::int64_t late_by);

    /// Whether the start has arrived that is to be carried out late.
    [[nodiscard]] bool has_delayed();

    /// Number of calls that have arrived.
    [[nodiscard]] std::uint64_t calls();

    /// Cuts the minion off from all machines, or ends the cut. It runs on meanwhile.
    void set_cut_off(bool is_cut_off);

private:
    using run_id = std::pair<std::string, std::uint64_t>;

    struct ended_task {
        std::uint64_t number = 0;
        run_id run{};
        std::string how{};
    };

    /// An order without an answer. Its lease counts from when it is carried out.
    struct late_start {
        std::int64_t due = 0;   ///< Steady time in ms.
        std::int64_t lease = 0; ///< In ms.
        nlohmann::json call{};
    };

    /// The minion's process.
    struct life {
        std::uint64_t born = 0;       ///< Unix time in ms.
        std::int64_t clock_start = 0; ///< Steady time in ms at which the clock shows 1.
        std::uint64_t sequence = 0;
        std::uint64_t token = 0;
        std::int64_t lease_end = 0;               ///< On the minion's clock.
        std::map<run_id, std::int64_t> running{}; ///< End of the work on the minion's clock.
        std::vector<ended_task> ended{};
        std::map<std::string, std::uint64_t> highest_ended{};
        std::uint64_t last_end = 0;
    };

    [[nodiscard]] static life begin_life();
    [[nodiscard]] review::http_message serve(const review::http_message& request);
    [[nodiscard]] review::http_message dispatch(const std::string& path, const nlohmann::json& call,
                                                std::unique_lock<std::mutex>& lock);
    [[nodiscard]] bool delay(const nlohmann::json& call);
    [[nodiscard]] review::http_message start(const nlohmann::json& call);
    [[nodiscard]] review::http_message stop(const nlohmann::json& call);
    [[nodiscard]] review::http_message list(const nlohmann::json& call,
                                            std::unique_lock<std::mutex>& lock);
    [[nodiscard]] review::http_message reject(const char* reason) const;
    [[nodiscard]] review::http_message accept(nlohmann::json body) const;
    [[nodiscard]] bool is_fenced(const nlohmann::json& call);
    void extend_lease(const nlohmann::json& call);
    [[nodiscard]] std::int64_t clock() const;
    void end(const run_id& run, const char* how);
    void end_due_runs();
    void execute_late_start();
    void advance();
    void send_heartbeats();
    [[nodiscard]] std::string next_heartbeat();

    minion_settings settings_;
    review::record* log_;
    std::mutex mutex_;
    std::condition_variable changed_;
    life life_;
    std::string delayed_job_;
    std::int64_t late_by_ = 0;
    std::optional<late_start> late_start_;
    bool has_delayed_ = false;
    std::uint64_t calls_ = 0;
    bool is_cut_off_ = false;
    bool stopping_ = false;
    std::unique_ptr<review::http_server> server_;
    std::thread advance_thread_;
    std::thread heartbeat_thread_;
};

} // namespace review3
