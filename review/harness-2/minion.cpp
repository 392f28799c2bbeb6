#include "minion.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review {
namespace {

using nlohmann::json;

/// Largest time by which a call extends the lease, `max_hold_ms` of the pages.
constexpr std::int64_t max_hold_ms = 1'000;

constexpr std::chrono::milliseconds heartbeat_interval{1'500};
constexpr std::chrono::milliseconds advance_interval{2};
constexpr int heartbeat_timeout_ms = 1'000;
constexpr std::int64_t cpu_millis = 64'000;
constexpr std::int64_t memory_mb = 131'072;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;

} // namespace

minion::minion(minion_settings settings, record& log) : settings_(std::move(settings)), log_(&log) {
    life_.born = static_cast<std::uint64_t>(unix_ms());
    life_.clock_start = steady_ms() - 1;
    server_ = std::make_unique<http_server>(
        settings_.address, [this](const http_message& request) { return serve(request); });
    advance_thread_ = std::thread{[this] {
        advance();
    }};
    heartbeat_thread_ = std::thread{[this] {
        send_heartbeats();
    }};
}

minion::~minion() {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    advance_thread_.join();
    heartbeat_thread_.join();
    server_.reset();
}

void minion::restart(std::vector<std::string> labels) {
    {
        const std::lock_guard lock{mutex_};
        for (const auto& [run, task] : life_.running) {
            log_->task_ended(run.first, settings_.id);
            log_->write("minion " + settings_.id + " crashes, which ends " + run.first + " run " +
                        std::to_string(run.second));
        }
        const auto born = std::max(static_cast<std::uint64_t>(unix_ms()), life_.born + 1);
        life_ = life{};
        life_.born = born;
        life_.clock_start = steady_ms() - 1;
        settings_.labels = std::move(labels);
        heartbeat_due_ = true;
        log_->write("minion " + settings_.id + " starts again with labels " +
                    json(settings_.labels).dump());
    }
    server_->close_connections();
    changed_.notify_all();
}

void minion::disturb(disturbance plan) {
    const std::lock_guard lock{mutex_};
    disturbance_ = std::move(plan);
    disturbed_since_ = 0;
}

bool minion::keep_disturbance_if_begun() {
    const std::lock_guard lock{mutex_};
    if (disturbed_since_ == 0) {
        disturbance_ = {};
    }
    return disturbed_since_ != 0;
}

/// Whether a call of /api/hold is left unanswered now, to be carried out late.
bool minion::delay_call(const json& call) {
    auto& times = disturbance_.late_calls_at;
    const auto token = call.value("fencing_token", std::uint64_t{0});
    const auto since = steady_ms() - disturbed_since_;
    const bool is_renewal =
        call.contains("deadline_ms") && !times.empty() && since >= times.front();
    const bool is_claim = token > life_.token && disturbance_.late_claims > 0;
    if (disturbed_since_ == 0 || (!is_renewal && !is_claim)) {
        return false;
    }
    if (is_claim) {
        --disturbance_.late_claims;
    } else {
        times.erase(times.begin());
    }
    late_calls_.push_back({.due = steady_ms() + disturbance_.late_by,
                           .lease = call.value("deadline_ms", std::int64_t{0}) - clock(),
                           .token = token});
    log_->write("minion " + settings_.id + " leaves a " + (is_claim ? "claim" : "renewal") +
                " without an answer");
    return true;
}

void minion::execute_late_calls() {
    for (const auto& call : std::exchange(late_calls_, {})) {
        if (steady_ms() < call.due) {
            late_calls_.push_back(call);
        } else if (call.token >= life_.token) {
            life_.token = call.token;
            extend_lease({{"deadline_ms", clock() + call.lease}});
            log_->write("minion " + settings_.id + " carries out a late call");
        }
    }
}

std::int64_t minion::clock() const {
    return steady_ms() - life_.clock_start;
}

http_message minion::reject(const char* reason) const {
    return {.status = status_conflict,
            .body = json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
}

http_message minion::accept(json body) const {
    body["clock_ms"] = clock();
    return {.status = status_ok, .body = body.dump()};
}

bool minion::is_fenced(const json& call) {
    const auto token = call.value("fencing_token", std::uint64_t{0});
    const bool fenced = token < life_.token;
    life_.token = std::max(token, life_.token);
    return fenced;
}

void minion::extend_lease(const json& call) {
    const auto until = call.value("deadline_ms", std::int64_t{0});
    life_.lease_end = std::max(life_.lease_end, std::min(until, clock() + max_hold_ms));
}

http_message minion::serve(const http_message& request) {
    ++calls_;
    std::unique_lock lock{mutex_};
    const auto call = json::parse(request.body, nullptr, false);
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != settings_.id) {
        return {.status = status_misdirected, .body = json{{"clock_ms", clock()}}.dump()};
    }
    if (!call.is_object()) {
        return {.status = status_bad_request, .body = "{}"};
    }
    if (request.path == "/api/run-start") {
        return start(call);
    }
    if (request.path == "/api/run-stop") {
        return stop(call);
    }
    if (request.path == "/api/hold") {
        if (delay_call(call)) {
            return {};
        }
        return list(call, lock);
    }
    return {.status = status_not_found, .body = "{}"};
}

http_message minion::start(const json& call) {
    if (is_fenced(call)) {
        return reject("fence");
    }
    extend_lease(call);
    const run_id run{call.value("task", ""), call.value("run", std::uint64_t{0})};
    if (life_.running.contains(run)) {
        return accept(json::object());
    }
    const auto ended = life_.highest_ended.find(run.first);
    if (ended != life_.highest_ended.end() && run.second <= ended->second) {
        return reject("old");
    }
    if (call.value("deadline_ms", std::int64_t{0}) < clock()) {
        return reject("late");
    }
    const auto specification = call.value("specification", "");
    const auto duration = std::strtoll(specification.c_str(), nullptr, 10);
    life_.running[run] = {.started = clock(), .until = clock() + duration};
    if (!disturbance_.job.empty() && run.first.starts_with(disturbance_.job)) {
        disturbed_since_ = steady_ms();
        disturbance_.job.clear();
    }
    log_->write("minion " + settings_.id + " with labels " + json(settings_.labels).dump() +
                " starts " + run.first + " run " + std::to_string(run.second));
    log_->task_started(
        {.task = run.first, .minion = settings_.id, .labels = settings_.labels, .after = clock()});
    return accept(json::object());
}

http_message minion::stop(const json& call) {
    if (is_fenced(call)) {
        return reject("fence");
    }
    const run_id run{call.value("task", ""), call.value("run", std::uint64_t{0})};
    auto& highest = life_.highest_ended[run.first];
    highest = std::max(highest, run.second);
    if (life_.running.contains(run)) {
        end(run, "stopped");
    }
    return accept(json::object());
}

http_message minion::list(const json& call, std::unique_lock<std::mutex>& lock) {
    if (is_fenced(call)) {
        return reject("fence");
    }
    extend_lease(call);
    const auto seen = call.value("last_seen", std::uint64_t{0});
    std::erase_if(life_.ended, [&](const ended_task& item) { return item.number <= seen; });
    const auto born = life_.born;
    const std::chrono::milliseconds wait{call.value("wait_ms", std::int64_t{0})};
    changed_.wait_for(lock, wait,
                      [&] { return stopping_ || life_.born != born || !life_.ended.empty(); });
    if (life_.born != born) {
        return {.status = status_misdirected, .body = "{}"};
    }
    json body{{"born", life_.born}, {"running", json::array()}, {"ended", json::array()}};
    for (const auto& [run, task] : life_.running) {
        body["running"].push_back({run.first, run.second, "", 0, 0});
    }
    for (const auto& item : life_.ended) {
        body["ended"].push_back({item.number, item.run.first, item.run.second, item.how, ""});
    }
    return accept(std::move(body));
}

void minion::end(const run_id& run, const char* how) {
    auto& highest = life_.highest_ended[run.first];
    highest = std::max(highest, run.second);
    life_.running.erase(run);
    life_.ended.push_back({.number = ++life_.last_end, .run = run, .how = how});
    log_->task_ended(run.first, settings_.id);
    log_->write("minion " + settings_.id + " ends " + run.first + " run " +
                std::to_string(run.second) + ' ' + how);
    changed_.notify_all();
}

void minion::advance() {
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        execute_late_calls();
        const auto running = life_.running;
        for (const auto& [run, task] : running) {
            if (task.until <= std::min(clock(), life_.lease_end)) {
                end(run, "done");
            } else if (life_.lease_end < clock()) {
                end(run, "lapsed");
            }
        }
        lock.unlock();
        std::this_thread::sleep_for(advance_interval);
        lock.lock();
    }
}

std::string minion::next_heartbeat() {
    return json{{"service", settings_.service},
                {"address", settings_.address},
                {"zone", settings_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity", {{"cpu", cpu_millis}, {"requested_memory_mb", memory_mb}, {"gpu", 0}}},
                {"labels", settings_.labels},
                {"clock_ms", clock()},
                {"born", life_.born},
                {"sequence", ++life_.sequence}}
        .dump();
}

void minion::send_heartbeats() {
    std::unique_lock lock{mutex_};
    std::size_t control = 0;
    while (!stopping_) {
        if (std::exchange(heartbeat_due_, false)) {
            // A new life picks another control machine.
            control = (control + 1) % settings_.control.size();
        }
        const auto body = next_heartbeat();
        lock.unlock();
        for (std::size_t tried = 0; tried < settings_.control.size(); ++tried) {
            const auto answer = exchange_once(settings_.control[control], "POST",
                                              "/api/instances/" + settings_.id + "/heartbeat", body,
                                              {}, heartbeat_timeout_ms);
            if (answer.status == status_ok) {
                break;
            }
            control = (control + 1) % settings_.control.size();
        }
        lock.lock();
        changed_.wait_for(lock, heartbeat_interval, [this] { return stopping_ || heartbeat_due_; });
    }
}

} // namespace review
