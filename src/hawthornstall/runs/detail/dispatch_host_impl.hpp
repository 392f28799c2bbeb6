#pragma once

/// Member functions of dispatch_host. Included by dispatch_host.hpp only.

#include "hawthornstall/control/entry_message_layouts.hpp"
#include "hawthornstall/pipeline/pipe.hpp"
#include "hawthornstall/runs/dispatch_host.hpp"
#include "hawthornstall/runs/run_layouts.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <stdexcept>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Timers of the decisions are due at multiples of this.
constexpr core::duration_ms tick_interval{50};

/// A process that stood still for longer may have been taken for lost, and another one schedules.
constexpr core::duration_ms stall_limit{500};

/// Entry hosts say to each other that they are alive, and what they hold, at least this often.
constexpr core::duration_ms presence_interval{1'000};

/// Entry hosts say to control hosts that they listen at least this often.
constexpr core::duration_ms hello_interval{1'000};

/// A host that is shutting down stops to take requests when this part of its time is left.
constexpr core::duration_ms closing_time{2'000};

/// The process ends this long before it would be killed.
constexpr core::duration_ms exit_margin{300};

/// No host starts more runs in a millisecond, so that keys of two processes never meet.
constexpr std::uint64_t runs_per_ms = 1'000;

constexpr int ready_status = 200;
constexpr int not_ready_status = 503;

/// Filter: reads what the caller of a routed call wants.
template <class Codec> struct decode_wish {
    Codec* codec;
    absl::StatusOr<caller_wish> operator()(const routed_call& call) const {
        return codec->decode_wish(call);
    }
};

/// Filter: refuses jobs that no run could satisfy.
struct check_wish {
    absl::StatusOr<caller_wish> operator()(caller_wish wish) const {
        if (const auto* const job = std::get_if<job_request>(&wish)) {
            if (auto status = check_job(*job); !status.ok()) {
                return status;
            }
        }
        return wish;
    }
};

} // namespace detail

template <dispatch_codec Codec>
dispatch_host<Codec>::dispatch_host(dispatch_options options, observer report)
    : options_(std::move(options)), report_(std::move(report)),
      hosts_({.host = options_.host, .leaving = false, .held_targets = {}}),
      scheduler_(options_.self.incarnation * detail::runs_per_ms),
      holder_(options_.bounds, options_.host_bits, core::ms_clock::now()) {}

template <dispatch_codec Codec> void dispatch_host<Codec>::attach(runtime::event_loop& loop) {
    loop_ = &loop;
    client_ = std::make_unique<net::http_client>(loop, net::limits_without_pings());
    open_links();
    open_servers();
    tick_event_ = loop.every(detail::tick_interval, [this] { tick(); });
}

template <dispatch_codec Codec> void dispatch_host<Codec>::open_links() {
    links_ = std::make_unique<net::peer_links>(
        *loop_, options_.self,
        [this](std::string_view peer, std::uint64_t /*incarnation*/, std::string_view body) {
            receive(peer, body);
        },
        [this](std::string_view peer, bool reachable) { on_link(peer, reachable); });
    if (const auto status = links_->start({}); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
    take(seeds_changed{options_.control_hosts});
}

template <dispatch_codec Codec> void dispatch_host<Codec>::open_servers() {
    caller_server_ = std::make_unique<net::http_server>(
        *loop_, options_.caller_address, options_.limits,
        [this](const net::http_request& request) { take_call(request); });
    caller_server_->on_client_gone([this](std::uint64_t request) {
        front_end_.caller_left(request, now());
        flush_soon();
    });
    readiness_server_ = std::make_unique<net::http_server>(
        *loop_, options_.readiness_address, options_.limits,
        [this](const net::http_request& request) { answer_readiness(request); });
    for (auto* const server : {caller_server_.get(), readiness_server_.get()}) {
        if (const auto status = server->start(); !status.ok()) {
            throw std::runtime_error{core::describe(status)};
        }
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::handle(message input) {
    std::visit([this](auto& content) { take(std::move(content)); }, input);
    flush_soon();
}

template <dispatch_codec Codec> void dispatch_host<Codec>::take(shutdown_request request) {
    ended_ = std::move(request.ended);
    leaving_since_ = now();
    hosts_.self().leaving = true;
    report_({.name = "shutdown_started"});
    send_presence();
}

template <dispatch_codec Codec> void dispatch_host<Codec>::take(const seeds_changed& change) {
    for (const auto& host : change.control_hosts) {
        links_->add({.name = host, .address = host});
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::take(const status::status_question& question) {
    question.reply({question.number, rows_of(question.kind)});
}

template <dispatch_codec Codec>
status::status_rows dispatch_host<Codec>::rows_of(status::status_kind kind) const {
    switch (kind) {
    case status::status_kind::hosts:
        return host_rows(hosts_);
    case status::status_kind::targets:
        return target_rows(roster_, holder_, hosts_);
    case status::status_kind::jobs:
        return scheduler_.rows(now());
    case status::status_kind::rollout:
        break;
    }
    return std::vector<status::config_row>{{.name = options_.host.name,
                                            .zone = options_.host.zone,
                                            .version = routes_.version,
                                            .revision = documents_.revision()}};
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::take_call(const net::http_request& request) {
    const auto time = now();
    const auto arrived = early_calls_.take(request.number).value_or(time);
    if (routes_.version == 0 && early_calls_.keep(request.number, arrived, time)) {
        return;
    }
    auto to_wish =
        pipeline::pipe(find_route{}, detail::decode_wish<Codec>{&codec_}, detail::check_wish{});
    auto wish = to_wish(arrived_call{&request, &routes_});
    if (!wish.ok()) {
        report_({.level = core::log_level::warning,
                 .name = "request_refused",
                 .id = std::string{request.path},
                 .detail = core::describe(wish.status())});
        send_answer(request.number, codec_.answer_to(wish.status()));
        return;
    }
    std::visit([&](auto& content) { serve({request.number, arrived}, std::move(content)); }, *wish);
}

/// Calls that have waited for the first configuration, which is there or is given up for them.
template <dispatch_codec Codec>
void dispatch_host<Codec>::take_early_calls(core::time_ms arrived_by) {
    for (const auto number : early_calls_.arrived_by(arrived_by)) {
        if (!caller_server_->handle_again(number)) {
            (void)early_calls_.take(number);
            // The caller has left; the server lets go of the request.
            (void)caller_server_->answer(number, {});
        }
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, job_request&& job) {
    const auto scheduler = hosts_.scheduler();
    report_({.name = "job_submitted",
             .id = job.id,
             .peer = scheduler.value_or(std::string{}),
             .detail = "deadline " + std::to_string(job.terms.deadline.count()) + " ms, run time " +
                       std::to_string(critical_path_time(job).count()) + " ms, configuration " +
                       std::to_string(routes_.version)});
    front_end_.open(request.number, std::move(job), scheduler, request.at, now());
    flush_soon();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, const count_question& /*question*/) {
    // No job is accepted before it has ended, so none waits.
    send_answer(request.number, codec_.answer_to(waiting_count{.jobs = 0}));
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::serve(arrived_request request, const job_question& /*question*/) {
    send_answer(request.number, codec_.answer_to(unknown_job{}));
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::send_answer(std::uint64_t request, const caller_answer& answer) {
    // A caller that has left needs no answer; the server counts it.
    (void)caller_server_->answer(
        request, {.status = answer.status, .body = answer.body, .retry_after = answer.retry_after});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::answer_readiness(const net::http_request& request) {
    const bool is_ready = routes_.version > 0 && !hosts_.self().leaving;
    (void)readiness_server_->answer(
        request.number,
        {.status = is_ready ? detail::ready_status : detail::not_ready_status, .body = "{}"});
}

template <dispatch_codec Codec> void dispatch_host<Codec>::answer_call(const desk_answer& answer) {
    const auto encoded = codec_.answer_to(answer);
    const bool is_good = answer.result == job_result::completed;
    report_({.level = is_good ? core::log_level::info : core::log_level::warning,
             .name = is_good ? "job_answered" : "job_answered_without_success",
             .id = answer.job,
             .detail = std::string{to_string(answer.result)} + ": " + answer.reason,
             .age = answer.age});
    send_answer(answer.request, encoded);
}

template <dispatch_codec Codec>
bool dispatch_host<Codec>::is_control_host(std::string_view name) const {
    return name.ends_with(options_.control_port_suffix);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::receive(std::string_view peer, std::string_view body) {
    if (is_control_host(peer)) {
        receive_from_control(peer, body);
    } else if (auto messages = wire::decode<std::vector<run_message>>(body); messages.ok()) {
        for (auto& item : *messages) {
            deliver(std::string{peer}, std::move(item));
        }
    } else {
        report_({.level = core::log_level::warning,
                 .name = "message_not_decoded",
                 .peer = std::string{peer},
                 .detail = core::describe(messages.status())});
    }
    flush_soon();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::receive_from_control(std::string_view host, std::string_view body) {
    const auto message = wire::decode<control::control_to_entry>(body);
    if (!message.ok()) {
        report_({.level = core::log_level::warning,
                 .name = "message_not_decoded",
                 .peer = std::string{host},
                 .detail = core::describe(message.status())});
        return;
    }
    std::visit([&](const auto& content) { apply(host, content); }, *message);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_link(std::string_view peer, bool reachable) {
    report_({.level = reachable ? core::log_level::info : core::log_level::warning,
             .name = reachable ? "peer_reachable" : "peer_unreachable",
             .peer = std::string{peer}});
    if (is_control_host(peer)) {
        if (reachable) {
            send_control(peer, discovery::host_hello{options_.host, documents_.revision()});
        }
        return;
    }
    if (reachable) {
        send_presence();
    } else {
        hosts_.unreachable(peer);
        if (hosts_.others().empty()) {
            hosts_.reset_own_role();
        }
        holder_.scheduler_unreachable(peer, now());
        scheduler_.host_unreachable(peer, now());
        front_end_.host_unreachable(peer, hosts_.scheduler(), now());
        note_scheduler(now());
    }
    flush_soon();
}

template <dispatch_codec Codec> void dispatch_host<Codec>::tick() {
    const auto time = now();
    if (time - last_tick_ > detail::stall_limit) {
        hosts_.reset_own_role();
    }
    last_tick_ = time;
    take_early_calls(time - early_calls::max_wait);
    roster_.tick(time);
    note_scheduler(time);
    front_end_.tick(time);
    holder_.tick(roster_, hosts_, time, core::ms_clock::wall_now());
    if (time >= hello_due_) {
        say_hello();
    }
    if (time >= presence_due_) {
        send_presence();
    }
    flush();
    finish_shutdown(time);
}

template <dispatch_codec Codec> void dispatch_host<Codec>::note_scheduler(core::time_ms time) {
    const bool begins = hosts_.update_own_role(time);
    const auto scheduler = hosts_.scheduler();
    if (begins) {
        scheduler_.start_scheduling();
        send_presence();
    } else if (scheduler != hosts_.self().host.name) {
        scheduler_.stop_scheduling();
    }
    if (scheduler == last_scheduler_) {
        return;
    }
    last_scheduler_ = scheduler;
    report_({.name = "scheduler_chosen", .peer = scheduler.value_or(std::string{})});
    if (scheduler) {
        front_end_.scheduler_changed(*scheduler, time);
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::say_hello() {
    hello_due_ = now() + detail::hello_interval;
    for (const auto& name : links_->reachable_peers()) {
        if (is_control_host(name)) {
            send_control(name, discovery::host_hello{options_.host, documents_.revision()});
        }
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::send_presence() {
    presence_due_ = now() + detail::presence_interval;
    hosts_.self().held_targets = holder_.held();
    for (const auto& name : links_->reachable_peers()) {
        if (!is_control_host(name)) {
            outgoing_[name].push_back(hosts_.self());
        }
    }
    flush_soon();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::subscribe(std::string_view control_host, std::uint64_t revision) {
    send_control(control_host, control::config_subscribe{.revision = revision});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::send_control(std::string_view host,
                                        const control::entry_to_control& message) {
    // Repeated with the next digest or hello when it gets lost.
    (void)links_->send(host, wire::encode(message));
}

/// Inputs that are read in one turn of the event loop share messages and one round of placement.
template <dispatch_codec Codec> void dispatch_host<Codec>::flush_soon() {
    if (!std::exchange(flush_is_due_, true)) {
        flush_event_ = loop_->after(core::duration_ms{0}, [this] { flush(); });
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::flush() {
    flush_is_due_ = false;
    do {
        while (!local_.empty()) {
            auto item = std::move(local_.front());
            local_.pop_front();
            deliver(options_.self.name, std::move(item.message));
        }
        scheduler_.place(now());
        auto scheduled = scheduler_.take_effects();
        for (const auto& event : scheduled.events) {
            report_(
                {.name = event.what, .id = event.job, .detail = event.detail, .age = event.age});
        }
        route(scheduled.messages);
        auto held = holder_.take_effects();
        for (const auto& call : held.calls) {
            call_target(call);
        }
        route(held.messages);
        auto answered = front_end_.take_effects();
        for (const auto& answer : answered.answers) {
            answer_call(answer);
        }
        route(answered.messages);
        if (held.held_changed) {
            send_presence();
        }
    } while (!local_.empty());
    send_outgoing();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::route(std::vector<addressed_message>& messages) {
    for (auto& item : messages) {
        if (item.host == options_.self.name) {
            local_.push_back(std::move(item));
        } else {
            outgoing_[item.host].push_back(std::move(item.message));
        }
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::send_outgoing() {
    for (const auto& [host, messages] : std::exchange(outgoing_, {})) {
        if (const auto status = links_->send(host, wire::encode(messages)); !status.ok()) {
            report_({.level = core::log_level::warning,
                     .name = "message_not_sent",
                     .peer = host,
                     .detail = core::describe(status)});
        }
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::call_target(const target_call& call) {
    const auto encoded = codec_.encode(call);
    std::vector<net::http_header> headers;
    for (const auto& [name, value] : encoded.headers) {
        headers.push_back({name, value});
    }
    // Calls may be repeated without harm: starts are numbered and stops and listings have no effect
    // the second time.
    const net::exchange_request request{.address = call.address,
                                        .method = net::exchange_method::post,
                                        .path = encoded.path,
                                        .headers = headers,
                                        .body = encoded.body,
                                        .timeout = call.timeout,
                                        .idempotent = true};
    const auto sent = now();
    const auto done = [this, call, sent](const net::exchange_result& result) {
        const auto answer = codec_.decode(call, result);
        const auto age = now() - sent;
        if (answer.fault) {
            report_({.level = core::log_level::warning,
                     .name = "target_call_failed",
                     .peer = call.target,
                     .detail = answer.reason,
                     .age = age});
        } else {
            report_({.level = core::log_level::debug,
                     .name = answered_event(call.request),
                     .peer = call.target,
                     .age = age});
        }
        holder_.answered(call.target, call.number, answer, now());
        flush_soon();
    };
    if (const auto status = client_->send(request, done); !status.ok()) {
        holder_.answered(call.target, call.number,
                         {.fault = call_fault::not_delivered, .reason = core::describe(status)},
                         now());
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::finish_shutdown(core::time_ms time) {
    if (!ended_) {
        return;
    }
    const auto since = time - leaving_since_;
    if (!closing_ && since > options_.shutdown_grace - detail::closing_time) {
        closing_ = true;
        caller_server_->close([] {});
    }
    const bool is_idle = closing_ && front_end_.idle() && scheduler_.idle() && holder_.idle() &&
                         caller_server_->open_requests() == 0;
    if (is_idle || since > options_.shutdown_grace - detail::exit_margin) {
        report_({.name = "shutdown_finished", .detail = is_idle ? "idle" : "time is up"});
        std::exchange(ended_, nullptr)();
    }
}

} // namespace hawthornstall::runs

#include "hawthornstall/runs/detail/dispatch_host_messages.hpp"
