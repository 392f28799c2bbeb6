#include "late_minion.hpp"

#include <algorithm>
#include <chrono>
#include <cstdlib>

namespace review3 {
namespace {

using nlohmann::json;
using review::http_message;

/// Largest time by which a call extends the lease, `max_hold_ms` of the pages.
constexpr std::int64_t max_hold_ms = 1'000;

constexpr std::chrono::milliseconds heartbeat_interval{1'500};
constexpr std::chrono::milliseconds advance_interval{2};
constexpr int heartbeat_timeout_ms = 1'000;
constexpr std::int64_t cpu_millis = 64'000;
constexpr std::int64_t memory_mb = 262'144;

constexpr int status_ok = 200;
constexpr int status_bad_request = 400;
constexpr int status_not_found = 404;
constexpr int status_conflict = 409;
constexpr int status_misdirected = 421;

} // namespace

late_minion::late_minion(minion_settings settings, review::record& log)
    : settings_(std::move(settings)), log_(&log), life_(begin_life()) {
    server_ = std::make_unique<review::http_server>(
        settings_.address, [this](const http_message& request) { return serve(request); });
    advance_thread_ = std::thread{[this] {
        advance();
    }};
    heartbeat_thread_ = std::thread{[this] {
        send_heartbeats();
    }};
}

late_minion::~late_minion() {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    advance_thread_.join();
    heartbeat_thread_.join();
    server_.reset();
}

late_minion::life late_minion::begin_life() {
    life begun;
    begun.born = static_cast<std::uint64_t>(review::unix_ms());
    begun.clock_start = review::steady_ms() - 1;
    return begun;
}

void late_minion::delay_first_start(std::string job, std::int64_t late_by) {
    const std::lock_guard lock{mutex_};
    delayed_job_ = std::move(job);
    late_by_ = late_by;
}

bool late_minion::has_delayed() {
    const std::lock_guard lock{mutex_};
    return has_delayed_;
}

std::uint64_t late_minion::calls() {
    const std::lock_guard lock{mutex_};
    return calls_;
}

void late_minion::set_cut_off(bool is_cut_off) {
    const std::lock_guard lock{mutex_};
    is_cut_off_ = is_cut_off;
    log_->write("minion " + settings_.id + (is_cut_off ? " is cut off" : " is reached again"));
    changed_.notify_all();
}

std::int64_t late_minion::clock() const {
    return review::steady_ms() - life_.clock_start;
}

http_message late_minion::reject(const char* reason) const {
    return {.status = status_conflict,
            .body = json{{"clock_ms", clock()}, {"reason", reason}}.dump()};
}

http_message late_minion::accept(json body) const {
    body["clock_ms"] = clock();
    body["born"] = life_.born;
    return {.status = status_ok, .body = body.dump()};
}

bool late_minion::is_fenced(const json& call) {
    const auto token = call.value("fencing_token", std::uint64_t{0});
    const bool fenced = token < life_.token;
    life_.token = std::max(token, life_.token);
    return fenced;
}

void late_minion::extend_lease(const json& call) {
    const auto until = call.value("deadline_ms", std::int64_t{0});
    life_.lease_end = std::max(life_.lease_end, std::min(until, clock() + max_hold_ms));
}

/// Whether the call is the one that is to be carried out late.
bool late_minion::delay(const json& call) {
    if (delayed_job_.empty() || !call.value("task", "").starts_with(delayed_job_ + '.')) {
        return false;
    }
    delayed_job_.clear();
    has_delayed_ = true;
    late_start_ = late_start{.due = review::steady_ms() + late_by_,
                             .lease = call.value("deadline_ms", std::int64_t{0}) - clock(),
                             .call = call};
    log_->write("minion " + settings_.id + " leaves the start of " + call.value("task", "") +
                " run " + std::to_string(call.value("run", std::uint64_t{0})) +
                " without an answer");
    return true;
}

http_message late_minion::serve(const http_message& request) {
    std::unique_lock lock{mutex_};
    ++calls_;
    if (is_cut_off_) {
        return {};
    }
    const auto call = json::parse(request.body, nullptr, false);
    const auto expected = request.headers.find("x-expect-instance");
    if (expected != request.headers.end() && expected->second != settings_.id) {
        return {.status = status_misdirected, .body = json{{"clock_ms", clock()}}.dump()};
    }
    if (!call.is_object()) {
        return {.status = status_bad_request, .body = "{}"};
    }
    return dispatch(request.path, call, lock);
}

http_message late_minion::dispatch(const std::string& path, const json& call,
                                   std::unique_lock<std::mutex>& lock) {
    if (path == "/api/run-start") {
        return delay(call) ? http_message{} : start(call);
    }
    if (path == "/api/run-stop") {
        return stop(call);
    }
    return path == "/api/hold" ? list(call, lock)
                               : http_message{.status = status_not_found, .body = "{}"};
}

http_message late_minion::start(const json& call) {
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
    life_.running[run] = clock() + std::strtoll(specification.c_str(), nullptr, 10);
    log_->write("minion " + settings_.id + " starts " + run.first + " run " +
                std::to_string(run.second));
    log_->task_started({.task = run.first, .minion = settings_.id, .labels = {}, .after = clock()});
    return accept(json::object());
}

http_message late_minion::stop(const json& call) {
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

http_message late_minion::list(const json& call, std::unique_lock<std::mutex>& lock) {
    if (is_fenced(call)) {
        return reject("fence");
    }
    extend_lease(call);
    const auto seen = call.value("last_seen", std::uint64_t{0});
    std::erase_if(life_.ended, [&](const ended_task& item) { return item.number <= seen; });
    const std::chrono::milliseconds wait{call.value("wait_ms", std::int64_t{0})};
    changed_.wait_for(lock, wait,
                      [this] { return stopping_ || is_cut_off_ || !life_.ended.empty(); });
    if (is_cut_off_) {
        return {};
    }
    json body{{"running", json::array()}, {"ended", json::array()}};
    for (const auto& [run, until] : life_.running) {
        body["running"].push_back({run.first, run.second, "", 0, 0});
    }
    for (const auto& item : life_.ended) {
        body["ended"].push_back({item.number, item.run.first, item.run.second, item.how, ""});
    }
    return accept(std::move(body));
}

void late_minion::end(const run_id& run, const char* how) {
    auto& highest = life_.highest_ended[run.first];
    highest = std::max(highest, run.second);
    life_.running.erase(run);
    life_.ended.push_back({.number = ++life_.last_end, .run = run, .how = how});
    log_->task_ended(run.first, settings_.id);
    log_->write("minion " + settings_.id + " ends " + run.first + " run " +
                std::to_string(run.second) + ' ' + how);
    changed_.notify_all();
}

void late_minion::end_due_runs() {
    const auto running = life_.running;
    for (const auto& [run, until] : running) {
        if (until <= std::min(clock(), life_.lease_end)) {
            end(run, "done");
        } else if (life_.lease_end < clock()) {
            end(run, "lapsed");
        }
    }
}

void late_minion::execute_late_start() {
    if (!late_start_ || review::steady_ms() < late_start_->due) {
        return;
    }
    const auto late = std::exchange(late_start_, std::nullopt).value();
    auto call = late.call;
    call["deadline_ms"] = clock() + late.lease;
    log_->write("minion " + settings_.id + " carries out the start of " + call.value("task", ""));
    const auto answer = start(call);
    if (answer.status != status_ok) {
        log_->write("which it rejects: " + answer.body);
    }
}

void late_minion::advance() {
    std::unique_lock lock{mutex_};
    while (!stopping_) {
        execute_late_start();
        end_due_runs();
        lock.unlock();
        std::this_thread::sleep_for(advance_interval);
        lock.lock();
    }
}

std::string late_minion::next_heartbeat() {
    return json{{"service", settings_.service},
                {"address", settings_.address},
                {"zone", settings_.zone},
                {"version", "v1"},
                {"slots", 8},
                {"state", "ready"},
                {"cold_remaining_ms", 0},
                {"capacity", {{"cpu", cpu_millis}, {"requested_memory_mb", memory_mb}, {"gpu", 0}}},
                {"labels", {"a", "r1"}},
                {"clock_ms", clock()},
                {"born", life_.born},
                {"sequence", ++life_.sequence}}
        .dump();
}

void late_minion::send_heartbeats() {
    std::unique_lock lock{mutex_};
    std::size_t control = 0;
    while (!stopping_) {
        const auto body = is_cut_off_ ? std::string{} : next_heartbeat();
        lock.unlock();
        for (std::size_t tried = 0; !body.empty() && tried < settings_.control.size(); ++tried) {
            const auto answer = review::exchange_once(
                settings_.control[control], "POST", "/api/instances/" + settings_.id + "/heartbeat",
                body, {}, heartbeat_timeout_ms);
            if (answer.status == status_ok) {
                break;
            }
            control = (control + 1) % settings_.control.size();
        }
        lock.lock();
        changed_.wait_for(lock, heartbeat_interval, [this] { return stopping_; });
    }
}

} // namespace review3
