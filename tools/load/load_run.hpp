#pragma once

/// Open-loop load: jobs arrive at random times, whether or not earlier ones were answered.

#include "hawthornstall/http/job_body.hpp"
#include "hawthornstall/net/http_client.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "load/id_issuer.hpp"
#include "load/job_sizes.hpp"
#include "load/load_results.hpp"
#include "load/load_settings.hpp"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <functional>
#include <iostream>
#include <memory>
#include <string>
#include <utility>

namespace hawthornstall::tools {

/// Length to which an unreadable answer is truncated in the output.
constexpr std::size_t max_shown_answer_bytes = 200;

/// Submits jobs from an event loop and calls `done` once when every job has ended.
template <job_size_distribution Sizes> class load_run {
public:
    load_run(runtime::event_loop& loop, load_settings settings, Sizes sizes,
             std::function<void()> done)
        : loop_(loop), settings_(std::move(settings)), sizes_(sizes), done_(std::move(done)),
          client_(loop, {.max_connections_per_target = settings_.max_open}),
          ids_(loop, client_, settings_.hosts, settings_.service, settings_.token),
          random_(settings_.seed),
          key_prefix_("load-" + std::to_string(core::to_count(core::ms_clock::wall_now()))) {}

    void start() {
        constexpr core::duration_ms max_id_wait{3000};
        ids_.start([this] {
            if (ids_.hosts_with_id() == settings_.hosts.size()) {
                begin();
            }
        });
        // The run starts without the hosts that issue no identifier within this time. Jobs for
        // these hosts are counted as not sent.
        timer_ = loop_.after(needs_id() ? max_id_wait : core::duration_ms{0}, [this] { begin(); });
    }

    [[nodiscard]] const load_results& results() const noexcept { return results_; }

private:
    struct open_job {
        core::job_request request;
        std::string body;
        core::time_ms due{};
        std::size_t host = 0;
        std::size_t resubmits_left = 0;
    };

    [[nodiscard]] bool needs_id() const {
        return settings_.form == call_form::job || !settings_.idempotent;
    }

    void begin() {
        if (!std::exchange(begun_, true)) {
            start_time_ = core::ms_clock::now();
            plan_arrival();
        }
    }

    void plan_arrival() {
        constexpr double ms_per_second = 1000.0;
        std::exponential_distribution<double> interarrival_time_ms{settings_.jobs_per_second /
                                                                   ms_per_second};
        next_arrival_ms_ += interarrival_time_ms(random_);
        const core::duration_ms due{std::llround(next_arrival_ms_)};
        const auto elapsed = core::ms_clock::now() - start_time_;
        timer_ = loop_.after(std::max(due - elapsed, core::duration_ms{0}), [this] { arrive(); });
    }

    void arrive() {
        if (!arrivals_ended()) {
            submit(make_job());
            plan_arrival();
        }
        finish_if_idle();
    }

    void finish_if_idle() {
        if (arrivals_ended() && open_ == 0 && done_) {
            std::exchange(done_, nullptr)();
        }
    }

    [[nodiscard]] bool arrivals_ended() const {
        return next_arrival_ms_ > static_cast<double>(settings_.duration.count()) ||
               results_.submitted >= settings_.max_jobs;
    }

    std::shared_ptr<open_job> make_job() {
        auto job = std::make_shared<open_job>();
        const auto key = key_prefix_ + '-' + std::to_string(results_.submitted++);
        job->due = start_time_ + core::duration_ms{std::llround(next_arrival_ms_)};
        job->host = next_host_++ % settings_.hosts.size();
        job->resubmits_left = settings_.resubmits;
        job->request.idempotent = settings_.idempotent;
        job->request.deadline = settings_.deadline;
        if (needs_id()) {
            job->request.id = ids_.make(job->host, key);
        }
        const auto tasks = settings_.form == call_form::job ? sizes_.next(random_) : 1;
        for (std::uint32_t task = 0; task < tasks; ++task) {
            job->request.tasks.push_back(make_task(key + '/' + std::to_string(task)));
        }
        results_.tasks += tasks;
        ++open_;
        return job;
    }

    core::task_request make_task(const std::string& name) {
        std::uniform_int_distribution<std::int64_t> run_time{settings_.min_run_time.count(),
                                                             settings_.max_run_time.count()};
        const core::duration_ms duration{run_time(random_)};
        return {.payload = "run_ms=" + std::to_string(duration.count()) + ' ' + name,
                .declared_run_time = duration};
    }

    void submit(const std::shared_ptr<open_job>& job) {
        auto body = http::encode_job_request(job->request);
        // Entry hosts deduplicate jobs by identifier, so a job without one is not sent.
        if (!body.ok() || (needs_id() && !job->request.id) || open_ > settings_.max_open) {
            finish(*job, verdict::not_sent);
            return;
        }
        job->body = *std::move(body);
        send(job);
    }

    void send(const std::shared_ptr<open_job>& job) {
        const auto path = "/v1/services/" + settings_.service +
                          (settings_.form == call_form::job ? "/jobs" : "/requests");
        const auto authorization = "Bearer " + settings_.token;
        const std::array headers{net::http_header{"Authorization", authorization},
                                 net::http_header{"Content-Type", "application/json"}};
        const auto sent =
            client_.send({.address = settings_.hosts.at(job->host),
                          .path = path,
                          .headers = headers,
                          .body = job->body,
                          .timeout = settings_.deadline + settings_.patience,
                          .idempotent = settings_.idempotent},
                         [this, job](const net::exchange_result& result) {
                             const auto end = check_answer(job->request, result);
                             if (end == verdict::unreadable) {
                                 std::cout << "unreadable answer of " << settings_.hosts[job->host]
                                           << ": status " << result.status << ", "
                                           << result.body.substr(0, max_shown_answer_bytes) << '\n';
                             }
                             receive(job, end);
                         });
        if (!sent.ok()) {
            finish(*job, verdict::not_sent);
        }
    }

    void receive(const std::shared_ptr<open_job>& job, verdict end) {
        const bool unanswered = end == verdict::missing || end == verdict::not_sent;
        // A resubmission is safe only if the job has an identifier or is idempotent.
        if (unanswered && job->resubmits_left > 0 && (job->request.id || job->request.idempotent)) {
            --job->resubmits_left;
            ++results_.resubmitted;
            job->host = (job->host + 1) % settings_.hosts.size();
            send(job);
        } else {
            finish(*job, end);
        }
    }

    void finish(const open_job& job, verdict end) {
        --open_;
        ++results_.verdict_counts.at(static_cast<std::size_t>(end));
        if (end == verdict::answered) {
            results_.answered.add(core::ms_clock::now() - job.due);
        }
        finish_if_idle();
    }

    runtime::event_loop& loop_;
    load_settings settings_;
    Sizes sizes_;
    std::function<void()> done_;
    net::http_client client_;
    id_issuer ids_;
    load_random random_;
    std::string key_prefix_;
    load_results results_;
    runtime::event_handle timer_;
    core::time_ms start_time_{};
    double next_arrival_ms_ = 0.0;
    std::size_t next_host_ = 0;
    std::size_t open_ = 0;
    bool begun_ = false;
};

} // namespace hawthornstall::tools
