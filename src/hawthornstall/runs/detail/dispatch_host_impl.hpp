#pragma once

/// Member functions of dispatch_host. Included by dispatch_host.hpp only.

#include "hawthornstall/control/entry_message_layouts.hpp"
#include "hawthornstall/runs/dispatch_host.hpp"
#include "hawthornstall/runs/message_packing.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <stdexcept>
#include <utility>

namespace hawthornstall::runs {
namespace detail {

/// Interval of the timer that drives all time-dependent decisions.
constexpr core::duration_ms tick_interval{50};

/// Longest interval between two hello messages to control hosts.
constexpr core::duration_ms hello_interval{1'000};

/// Interval of the reports of message counts.
constexpr core::duration_ms traffic_interval{10'000};

/// During shutdown, the server for callers closes when this much of the grace time is left.
constexpr core::duration_ms close_before_end{2'000};

/// The shutdown ends this long before the grace time is over and the process would be killed.
constexpr core::duration_ms exit_margin{300};

/// Readiness is asked for once a second, without a body.
constexpr net::http_server_limits readiness_limits{
    .max_body_bytes = 1024,
    .max_open_requests = 64,
    .connections = {.max_bytes = std::size_t{1024} * 1024, .max_connections = 64}};

} // namespace detail

template <dispatch_codec Codec>
dispatch_host<Codec>::dispatch_host(dispatch_options options, observer report)
    : options_(std::move(options)), report_(std::move(report)),
      logic_(options_.host, options_.bounds, options_.self.incarnation, options_.host_bits,
             core::ms_clock::now(), options_.placement),
      tick_delay_(detail::tick_interval) {}

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
        [this](std::string_view peer, net::link_change change) { on_link_change(peer, change); });
    if (const auto status = links_->start({}); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
    on_input(control_hosts_changed{options_.control_hosts});
}

template <dispatch_codec Codec> void dispatch_host<Codec>::open_servers() {
    caller_server_ = std::make_unique<net::http_server>(
        *loop_, options_.caller_address, options_.limits,
        [this](const net::http_request& request) { on_caller_request(request); });
    caller_server_->on_client_gone([this](std::uint64_t request) {
        logic_.caller_left(request, now());
        schedule_flush();
    });
    caller_server_->on_refusal([this](int status, std::string_view body) {
        report_({.level = core::log_level::warning,
                 .name = "client_refused",
                 .detail = std::to_string(status) + ' ' + std::string{body}});
    });
    caller_server_->on_connection_limit([this](const net::due_close& due) {
        report_({.level = core::log_level::warning,
                 .name = "client_closed",
                 .detail = std::string{net::to_string(due.reason)} + ", it held " +
                           std::to_string(due.held_bytes) + " bytes"});
    });
    readiness_server_ = std::make_unique<net::http_server>(
        *loop_, options_.readiness_address, detail::readiness_limits,
        [this](const net::http_request& request) { answer_readiness(request); });
    for (auto* const server : {caller_server_.get(), readiness_server_.get()}) {
        if (const auto status = server->start(); !status.ok()) {
            throw std::runtime_error{core::describe(status)};
        }
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::handle(message input) {
    std::visit([this](auto& content) { on_input(std::move(content)); }, input);
    schedule_flush();
}

template <dispatch_codec Codec> void dispatch_host<Codec>::on_input(shutdown_request request) {
    on_shutdown_end_ = std::move(request.ended);
    leaving_since_ = now();
    report_({.name = "shutdown_started"});
    logic_.leave(leaving_since_);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_input(const control_hosts_changed& change) {
    for (const auto& host : change.control_hosts) {
        links_->add({.name = host, .address = host});
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_input(const status::status_query& query) {
    query.reply({query.number, rows_of(query.kind)});
}

template <dispatch_codec Codec>
status::status_rows dispatch_host<Codec>::rows_of(status::status_kind kind) const {
    switch (kind) {
    case status::status_kind::hosts:
        return host_rows(logic_.hosts());
    case status::status_kind::targets:
        return target_rows(logic_.directory(), logic_.holder(), logic_.hosts());
    case status::status_kind::jobs:
        return logic_.scheduler().rows(now());
    case status::status_kind::zones:
        return control::zone_rows(options_.zones, documents_.drains());
    case status::status_kind::rollout:
        break;
    }
    return std::vector<status::config_row>{{.name = options_.host.name,
                                            .zone = options_.host.zone,
                                            .version = routes_.version,
                                            .revision = documents_.revision()}};
}

template <dispatch_codec Codec>
bool dispatch_host<Codec>::is_control_host(std::string_view name) const {
    return name.ends_with(options_.control_port_suffix);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::receive(std::string_view peer, std::string_view body) {
    if (is_control_host(peer)) {
        receive_from_control(peer, body);
    } else if (auto messages = unpack_messages(body); messages.ok()) {
        for (auto& item : *messages) {
            traffic_.received(item);
            logic_.receive(std::string{peer}, std::move(item), *links_, now());
        }
    } else {
        report_({.level = core::log_level::warning,
                 .name = "message_not_decoded",
                 .peer = std::string{peer},
                 .detail = core::describe(messages.status())});
    }
    schedule_flush();
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::receive_from_control(std::string_view host, std::string_view body) {
    traffic_.received_from_control(body.size());
    const auto message = wire::decode<control::control_to_entry>(body);
    if (!message.ok()) {
        report_({.level = core::log_level::warning,
                 .name = "message_not_decoded",
                 .peer = std::string{host},
                 .detail = core::describe(message.status())});
        return;
    }
    std::visit([&](const auto& content) { on_control_message(host, content); }, *message);
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::on_link_change(std::string_view peer, net::link_change change) {
    report_(link_event(peer, change, links_->condition(peer)));
    if (is_control_host(peer)) {
        if (change != net::link_change::unreachable) {
            send_control(peer, discovery::host_hello{options_.host, documents_.revision()});
        }
        return;
    }
    logic_.link_changed(peer, change, now());
    schedule_flush();
}

template <dispatch_codec Codec> void dispatch_host<Codec>::tick() {
    const auto time = now();
    report_(
        {.level = core::log_level::debug, .name = "tick_delayed", .age = tick_delay_.record(time)});
    retry_early_requests(time - early_requests::max_wait);
    logic_.tick(*links_, time, core::ms_clock::wall_now());
    if (time >= hello_due_) {
        send_hellos();
    }
    if (time >= traffic_due_) {
        traffic_due_ = time + detail::traffic_interval;
        report_traffic();
    }
    flush();
    finish_shutdown(time);
}

template <dispatch_codec Codec> void dispatch_host<Codec>::send_hellos() {
    hello_due_ = now() + detail::hello_interval;
    for (const auto& name : links_->reachable_peers()) {
        if (is_control_host(name)) {
            send_control(name, discovery::host_hello{options_.host, documents_.revision()});
        }
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::subscribe(std::string_view control_host, std::uint64_t revision) {
    send_control(control_host, control::config_subscribe{.revision = revision});
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::send_control(std::string_view host,
                                        const control::entry_to_control& message) {
    // The status is ignored: a lost message is repeated with the next digest or hello.
    const auto body = wire::encode(message);
    traffic_.sent_to_control(body.size());
    (void)links_->send(host, body);
}

/// Schedules one flush per iteration of the event loop, so that all inputs read in it share
/// messages and one round of placement.
template <dispatch_codec Codec> void dispatch_host<Codec>::schedule_flush() {
    if (!std::exchange(is_flush_scheduled_, true)) {
        flush_event_ = loop_->after(core::duration_ms{0}, [this] { flush(); });
    }
}

/// Carries out what the logic has decided.
template <dispatch_codec Codec> void dispatch_host<Codec>::flush() {
    is_flush_scheduled_ = false;
    traffic_.decided();
    const auto effects = logic_.take_effects(now());
    for (const auto& event : effects.events) {
        report_(event);
    }
    for (const auto& call : effects.calls) {
        call_target(call);
    }
    for (const auto& answer : effects.answers) {
        answer_caller(answer);
    }
    for (const auto& answer : effects.cancellations) {
        answer_cancellation(answer);
    }
    for (const auto& [host, messages] : effects.messages) {
        send(host, messages);
    }
}

template <dispatch_codec Codec>
void dispatch_host<Codec>::send(std::string_view host, std::span<const run_message> messages) {
    const auto body =
        pack_messages(messages, [this](std::size_t kind, std::size_t count, std::size_t bytes) {
            traffic_.sent(kind, count, bytes);
        });
    if (const auto status = links_->send(host, body); !status.ok()) {
        report_({.level = core::log_level::warning,
                 .name = "message_not_sent",
                 .peer = std::string{host},
                 .detail = core::describe(status)});
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::call_target(const target_call& call) {
    const auto encoded = codec_.encode(call);
    std::vector<net::http_header> headers;
    for (const auto& [name, value] : encoded.headers) {
        headers.push_back({name, value});
    }
    // All calls are idempotent: starts are numbered, and repeated stops and listings have no
    // effect.
    const net::exchange_request request{.address = call.address,
                                        .method = net::exchange_method::post,
                                        .path = encoded.path,
                                        .headers = headers,
                                        .body = encoded.body,
                                        .timeout = call.timeout,
                                        .idempotent = true};
    const auto sent = now();
    const auto done = [this, call, sent,
                       sent_bytes = encoded.body.size()](const net::exchange_result& result) {
        traffic_.called(call.request, sent_bytes, result.body.size());
        const auto answer = codec_.decode(call, result);
        const auto age = now() - sent;
        if (answer.fault) {
            report_({.level = core::log_level::warning,
                     .name = "target_call_failed",
                     .peer = call.target,
                     .detail = std::string{call_name(call.request)} + ": " + answer.reason,
                     .age = age});
        } else {
            report_({.level = core::log_level::debug,
                     .name = answered_event(call.request),
                     .peer = call.target,
                     .age = age});
        }
        logic_.answered(call, answer, now());
        schedule_flush();
    };
    if (const auto status = client_->send(request, done); !status.ok()) {
        logic_.answered(
            call, {.fault = call_fault::not_delivered, .reason = core::describe(status)}, now());
        schedule_flush();
    }
}

template <dispatch_codec Codec> void dispatch_host<Codec>::report_traffic() {
    auto rows = traffic_.rows(links_->counters());
    auto text = describe(rows);
    report_({.name = "traffic", .detail = std::move(text), .traffic = std::move(rows)});
    report_({.name = "event_loop_delay", .detail = tick_delay_.take()});
}

template <dispatch_codec Codec> void dispatch_host<Codec>::finish_shutdown(core::time_ms time) {
    if (!on_shutdown_end_) {
        return;
    }
    const auto since = time - leaving_since_;
    if (!closing_ && since > options_.shutdown_grace - detail::close_before_end) {
        closing_ = true;
        caller_server_->close([] {});
    }
    const bool is_idle = closing_ && logic_.idle() && caller_server_->open_requests() == 0;
    if (is_idle || since > options_.shutdown_grace - detail::exit_margin) {
        report_({.name = "shutdown_finished", .detail = is_idle ? "idle" : "grace time is over"});
        std::exchange(on_shutdown_end_, nullptr)();
    }
}

} // namespace hawthornstall::runs

#include "hawthornstall/runs/detail/dispatch_host_callers.hpp"
#include "hawthornstall/runs/detail/dispatch_host_messages.hpp"
