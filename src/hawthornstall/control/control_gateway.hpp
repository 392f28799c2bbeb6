#pragma once

/// Loop task that serves operators and targets of a control host over HTTP. It owns the
/// listening socket and the pending requests, and communicates with control_logic by messages.

#include "hawthornstall/control/control_logic.hpp"
#include "hawthornstall/control/gateway_event.hpp"
#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/mailbox.hpp"

#include <absl/status/statusor.h>

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Answer to an HTTP request; as a decoded request, one that needs no answer of control_logic.
struct gateway_answer {
    int status = 404;
    std::string body;
};

/// Adopts a numbered configuration.
struct config_put_request {
    numbered_config config;
};

/// Drains a zone or ends its drain.
struct zone_drain_request {
    zone_drain_order order;
};

/// Reads the current numbered configuration.
struct config_read_request {};

/// A target announces itself.
struct announce_request {
    discovery::target_record record;
};

/// A target is shutting down.
struct leave_request {
    std::string target;
    std::uint64_t incarnation = 0; ///< 0 if unknown.
};

using gateway_request = std::variant<gateway_answer, config_put_request, config_read_request,
                                     announce_request, leave_request, zone_drain_request>;

/// Requirements of the gateway on a protocol: pure functions between HTTP and the types above.
template <class Codec>
concept gateway_codec = requires(Codec codec, const net::http_request& request,
                                 const local_put_result& put, const local_read_result& read,
                                 std::string_view zone) {
    { codec.decode(request) } -> std::same_as<gateway_request>;
    { codec.answer_to(put) } -> std::same_as<gateway_answer>;
    { codec.answer_to(read) } -> std::same_as<gateway_answer>;
    { codec.accepted() } -> std::same_as<gateway_answer>;
    { codec.unknown_zone(zone) } -> std::same_as<gateway_answer>;
};

/// Time limit of a request. Operators switch to another host after a second without an answer.
constexpr core::duration_ms gateway_timeout{900};

/// Interval at which expired requests are answered.
constexpr core::duration_ms expiry_check_interval{100};

/// Serves HTTP requests that `Codec` decodes, and answers those that control_logic does not answer
/// in time.
template <gateway_codec Codec> class control_gateway {
public:
    using message = gateway_message;
    using observer = std::function<void(const gateway_event&)>;

    /// Requests count up from `last_earlier_number` + 1: the control host that leads can answer a
    /// request after the process that forwarded it has ended. `zones` are the availability zones
    /// that may be drained; an empty list allows all.
    control_gateway(std::string address, net::http_server_limits limits,
                    std::uint64_t last_earlier_number,
                    runtime::address<control_logic::message> logic, observer report,
                    std::vector<std::string> zones = {})
        : address_(std::move(address)), limits_(limits), last_earlier_number_(last_earlier_number),
          logic_(std::move(logic)), report_(std::move(report)), zones_(std::move(zones)) {}

    /// Throws std::runtime_error when the address cannot be listened on.
    void attach(runtime::event_loop& loop) {
        server_ = std::make_unique<net::http_server>(
            loop, address_, limits_,
            [this](const net::http_request& request) { process(request); });
        server_->on_refusal([this](int status, std::string_view body) {
            report_({.what = "client_refused", .detail = std::string{body}, .status = status});
        });
        server_->on_connection_limit([this](const net::due_close& due) {
            report_({.what = "client_closed", .detail = std::string{net::to_string(due.reason)}});
        });
        if (const auto status = server_->start(); !status.ok()) {
            throw std::runtime_error{core::describe(status)};
        }
        expiry_timer_ = loop.every(expiry_check_interval, [this] { answer_expired(); });
    }

    void handle(message input) {
        std::visit([this](auto& content) { process(std::move(content)); }, input);
    }

private:
    struct pending_request {
        core::time_ms deadline{};
        gateway_answer timeout_answer;
    };

    void process(const local_put_result& result) {
        finish(result.number, codec_.answer_to(result));
    }

    void process(const local_read_result& result) {
        finish(result.number, codec_.answer_to(result));
    }

    void process(zones_changed change) { zones_ = std::move(change.zones); }

    void process(const net::http_request& request) {
        auto decoded = codec_.decode(request);
        const auto number = last_earlier_number_ + request.number;
        std::visit([&](auto& content) { serve(number, std::move(content)); }, decoded);
    }

    void serve(std::uint64_t number, const gateway_answer& request) {
        if (request.status >= error_status) {
            report_({.what = "request_refused", .detail = request.body, .status = request.status});
        }
        send(number, request);
    }

    void serve(std::uint64_t number, config_put_request request) {
        add_pending(number, codec_.answer_to(local_put_result{number, std::nullopt}));
        report_(
            {.what = "config_put", .detail = "version " + std::to_string(request.config.version)});
        forward(number, local_config_put{number, std::move(request.config)});
    }

    void serve(std::uint64_t number, zone_drain_request request) {
        const auto& order = request.order;
        // The drain of a zone that is not listed any more can still be ended.
        if (order.drained && !zones_.empty() &&
            std::ranges::find(zones_, order.zone) == zones_.end()) {
            serve(number, codec_.unknown_zone(order.zone));
            return;
        }
        add_pending(number, codec_.answer_to(local_put_result{number, std::nullopt}));
        report_(
            {.what = "zone_drain_put",
             .detail = "zone " + order.zone + (order.drained ? ", drain" : ", end of the drain")});
        forward(number, local_zone_drain_put{number, std::move(request.order)});
    }

    void serve(std::uint64_t number, const config_read_request& /*request*/) {
        add_pending(number, codec_.answer_to(local_read_result{number, std::nullopt}));
        forward(number, local_config_read{number});
    }

    void serve(std::uint64_t number, announce_request request) {
        if (logic_->post(local_announcement{std::move(request.record)})) {
            send(number, codec_.accepted());
        } else {
            send(number, {.status = overloaded_status, .body = "{}"});
        }
    }

    void serve(std::uint64_t number, leave_request request) {
        report_({.what = "target_departed", .detail = request.target});
        if (logic_->post(local_departure{std::move(request.target), request.incarnation})) {
            send(number, codec_.accepted());
        } else {
            send(number, {.status = overloaded_status, .body = "{}"});
        }
    }

    void add_pending(std::uint64_t number, gateway_answer timeout_answer) {
        pending_[number] = {core::ms_clock::now() + gateway_timeout, std::move(timeout_answer)};
    }

    template <class Input> void forward(std::uint64_t number, Input input) {
        if (!logic_->post(std::move(input))) {
            finish(number, pending_.at(number).timeout_answer);
        }
    }

    void finish(std::uint64_t number, const gateway_answer& answer) {
        const auto found = pending_.find(number);
        if (found == pending_.end()) {
            return;
        }
        const auto arrived = found->second.deadline - gateway_timeout;
        pending_.erase(found);
        report_({.what = "config_request_ended",
                 .status = answer.status,
                 .time = core::ms_clock::now() - arrived});
        send(number, answer);
    }

    void send(std::uint64_t number, const gateway_answer& answer) {
        (void)server_->answer(number - last_earlier_number_,
                              {.status = answer.status, .body = answer.body});
    }

    void answer_expired() {
        const auto now = core::ms_clock::now();
        while (!pending_.empty() && pending_.begin()->second.deadline <= now) {
            const auto expired = *pending_.begin();
            finish(expired.first, expired.second.timeout_answer);
        }
    }

    static constexpr int error_status = 400;
    static constexpr int overloaded_status = 503;

    std::string address_;
    net::http_server_limits limits_;
    std::uint64_t last_earlier_number_;
    runtime::address<control_logic::message> logic_;
    observer report_;
    std::vector<std::string> zones_; ///< That may be drained; empty: all.
    Codec codec_;
    std::unique_ptr<net::http_server> server_;
    std::map<std::uint64_t, pending_request> pending_; ///< Ordered by arrival and so by deadline.
    runtime::event_handle expiry_timer_;
};

} // namespace hawthornstall::control
