#pragma once

/// A stand-in for a minion or worker: an HTTP server that pretends to run tasks.

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

/// What the stand-in holds and how fast it is.
struct standin_settings {
    std::string listen = "127.0.0.1:0";
    std::size_t slots = 8;           ///< Tasks that may run at once.
    core::duration_ms run_time{100}; ///< For payloads that state none.
    double speed = 1.0;
};

/// Makes the answer to `request` announce more than it will hold and close the connection.
void cut_answer_short(const net::http_request& request);

/// Serves `POST /v1/run` and `GET /v1/ping`. A full target answers 503 without a start.
template <task_behaviour Behaviour> class standin_target {
public:
    standin_target(runtime::event_loop& loop, standin_settings settings, start_log log,
                   Behaviour behaviour = {})
        : loop_(loop), settings_(std::move(settings)), log_(std::move(log)), behaviour_(behaviour),
          server_(loop, settings_.listen, {},
                  [this](const net::http_request& request) { receive(request); }) {}

    [[nodiscard]] absl::Status start() { return server_.start(); }

    [[nodiscard]] std::string_view address() const noexcept { return server_.address(); }

    /// Stops accepting and calls `idle` when all tasks are answered.
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
            begin(request, start);
        }
    }

    void begin(const net::http_request& request, const task_start& start) {
        const auto nominal = nominal_run_time(request.body, settings_.run_time, settings_.speed);
        const auto plan = behaviour_.plan(nominal);
        if (plan.ending == task_ending::short_body) {
            cut_answer_short(request);
        }
        const auto number = request.number;
        auto& task = running_[number];
        task = {.task = std::string{start.task},
                .attempt = std::string{start.attempt},
                .payload = std::string{request.body},
                .ending = plan.ending,
                .timer = {}};
        if (plan.ending != task_ending::silence) {
            task.timer = loop_.after(plan.run_time, [this, number] { finish(number); });
        }
    }

    void finish(std::uint64_t number) {
        const auto node = running_.extract(number);
        const auto& task = node.mapped();
        // A line that is lost here cannot hide a second start, which is what the log is for.
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
