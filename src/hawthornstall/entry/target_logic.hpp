#pragma once

/// Loop task that owns the HTTP connections to targets.

#include "hawthornstall/entry/shard.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/telemetry/entry_metrics.hpp"

#include <functional>
#include <memory>
#include <string>

namespace hawthornstall::entry {

/// Request to run `task` at the target with `address`, for the shard of `service`.
struct start_order {
    std::string service;
    std::string address; ///< "ip:port".
    run_task task;
};

/// Reports how an attempt ended, to the shard of `service`.
struct task_report {
    std::string service;
    std::uint64_t run = 0;
    task_result result = task_result::lost;
    std::string body; ///< Answer of the target.
};

/// Sends the attempt of each start_order to its target once, without retries, and reports its end
/// once.
class target_logic {
public:
    using message = start_order;

    /// Receives the reports, on this task's thread.
    using receiver = std::function<void(task_report)>;

    /// `metrics` must outlive the task.
    target_logic(receiver deliver, telemetry::entry_metrics* metrics)
        : deliver_(std::move(deliver)), metrics_(metrics) {}

    /// Creates the HTTP client on `loop`.
    void attach(runtime::event_loop& loop);

    /// Sends the task of `order`.
    void handle(const start_order& order);

private:
    void count(task_result result, std::size_t sent_bytes, std::size_t answer_bytes);

    receiver deliver_;
    telemetry::entry_metrics* metrics_;
    std::unique_ptr<net::http_client> client_;
};

/// Result of an attempt from the HTTP exchange with its target: status 200 is an answer, 503
/// guarantees that the task did not run, and any other status is a definite failure.
[[nodiscard]] task_result to_task_result(const net::exchange_result& exchange) noexcept;

} // namespace hawthornstall::entry
