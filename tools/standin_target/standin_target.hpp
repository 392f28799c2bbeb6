#pragma once

/// Stand-in for a minion or worker: an HTTP server that simulates the execution of tasks.

#include "common/start_log.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "standin_target/task_plan.hpp"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <utility>

namespace hawthornstall::tools {

/// Address, capacity and speed of a stand-in target.
struct standin_settings {
    std::string listen = "127.0.0.1:0";
    std::size_t slots = 8;           ///< Tasks that may run at once.
    core::duration_ms run_time{100}; ///< For payloads that specify none.
    double speed = 1.0;              ///< Divisor of run times.
};

/// Sets headers so that the answer to `request` states a Content-Length beyond the end of its body
/// and closes the connection.
void truncate_answer(const net::http_request& request);

/// Serves `POST /v1/run` and `GET /v1/ping`. While all slots are in use, it answers 503 and does
/// not start the task.
template <task_behaviour Behaviour> class standin_target {
public:
    standin_target(runtime::event_loop& loop, standin_settings settings, start_log log,
                   Behaviour behaviour = {})
        : loop_(loop), settings_(std::move(settings)), log_(std::move(log)), behaviour_(behaviour),
          server_(loop, settings_.listen, {},
                  [this](const net::http_request& request) { receive(request); }) {}

    [[nodiscard]] absl::Status start() { return server_.start(); }

    [[nodiscard]] std::string_view address() const noexcept { return server_.address(); }

    /// Stops accepting connections, refuses new tasks and calls `idle` when all tasks are answered.
    void close(std::function<void()> idle) { server_.close(std::move(idle)); }

private:
    struct running_task {
        std::string task;
        std::string attempt;
        std::string payload;
        task_ending ending = task_ending::echo;
        runtime::event_handle timer;
    };

    void receive(const net::http_request& request) {
        if (request.path == "/v1/ping") {
            server_.answer(request.number, {.body = "{}"});
        } else if (request.path == "/v1/run" && request.method == "POST") {
            run(request);
        } else {
            refuse(request, 404, "no such path");
        }
    }

    void run(const net::http_request& request) {
        const task_start start{.task = request.header("X-Task-Id"),
                               .attempt = request.header("X-Attempt")};
        if (!is_loggable(start)) {
            refuse(request, 400, "X-Task-Id and X-Attempt are required");
        } else if (running_.size() >= settings_.slots) {
            refuse(request, 503, "all slots are in use");
        } else if (!log_.write(task_event::start, core::ms_clock::wall_now(), start)) {
            refuse(request, 503, "start log cannot be written");
        } else {
            start_task(request, start);
        }
    }

    void start_task(const net::http_request& request, const task_start& start) {
        const auto nominal = nominal_run_time(request.body, settings_.run_time, settings_.speed);
        const auto plan = behaviour_.plan(nominal);
        if (plan.ending == task_ending::short_body) {
            truncate_answer(request);
        }
        const auto number = request.number;
        auto& task = running_[number];
        task = {.task = std::string{start.task},
                .attempt = std::string{start.attempt},
                .payload = std::string{request.body},
                .ending = plan.ending,
                .timer = {}};
        if (plan.ending != task_ending::no_answer) {
            task.timer = loop_.after(plan.run_time, [this, number] { finish(number); });
        }
    }

    void finish(std::uint64_t number) {
        const auto node = running_.extract(number);
        const auto& task = node.mapped();
        // A write error is ignored, since the check for repeated starts uses only start lines.
        [[maybe_unused]] const bool written =
            log_.write(task_event::end, core::ms_clock::wall_now(), {task.task, task.attempt});
        if (task.ending == task_ending::failure) {
            server_.answer(number, {.status = 500, .body = R"({"reason":"task failed"})"});
        } else {
            server_.answer(number, {.content_type = "text/plain", .body = task.payload});
        }
    }

    void refuse(const net::http_request& request, int status, std::string_view reason) {
        const auto body = R"({"reason":")" + std::string{reason} + R"("})";
        server_.answer(request.number, {.status = status, .body = body});
    }

    runtime::event_loop& loop_;
    standin_settings settings_;
    start_log log_;
    Behaviour behaviour_;
    net::http_server server_;
    std::unordered_map<std::uint64_t, running_task> running_;
};

} // namespace hawthornstall::tools
