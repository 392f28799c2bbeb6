#include "hawthornstall/telemetry/entry_metrics.hpp"

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>
#include <functional>
#include <map>
#include <mutex>

namespace hawthornstall::telemetry {
namespace detail {

using prometheus::BuildCounter;
using prometheus::BuildGauge;
using prometheus::BuildHistogram;
using prometheus::Counter;
using prometheus::Family;
using prometheus::Gauge;
using prometheus::Histogram;

constexpr std::array outcomes{core::outcome_class::answered, core::outcome_class::refused_not_run,
                              core::outcome_class::failed, core::outcome_class::may_have_run};
constexpr std::array<std::string_view, 7> cause_names{
    "rejected",  "resent",      "failed_attempt", "lost_hedge",
    "cancelled", "late_answer", "connection_lost"};
constexpr std::array<std::string_view, 5> purpose_names{"dispatch", "forward", "journal",
                                                        "membership", "configuration"};

/// Upper bounds of the buckets in seconds. Most tasks take 50 ms to 1 s, and deadlines reach a
/// minute.
const Histogram::BucketBoundaries response_bounds{0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5,
                                                  0.75,  1,    1.5,   2.5,  5,   10,  30,  60};
const Histogram::BucketBoundaries wait_bounds{0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                              0.5,   1,     2.5,  5,     10,   30};

double to_seconds(core::duration_ms duration) {
    return std::chrono::duration<double>{duration}.count();
}

/// Adds one counter to `family` for each value of `label`.
template <std::size_t Count>
std::array<Counter*, Count> add_counters(Family<Counter>& family, const std::string& label,
                                         const std::array<std::string_view, Count>& values) {
    std::array<Counter*, Count> counters{};
    for (std::size_t index = 0; index < Count; ++index) {
        counters.at(index) = &family.Add({{label, std::string{values.at(index)}}});
    }
    return counters;
}

/// Registers a family of metrics under `name` with the prefix of this project.
template <class Builder>
auto& make_family(Builder builder, prometheus::Registry& registry, const char* name,
                  const char* help) {
    return builder.Name(std::string{"hawthornstall_"} + name).Help(help).Register(registry);
}

} // namespace detail

/// Time series of one service, which the registry owns.
struct service_metrics::handles {
    std::array<prometheus::Counter*, detail::outcomes.size()> outcomes{};
    prometheus::Histogram* response = nullptr;
    prometheus::Histogram* queue_wait = nullptr;
    prometheus::Gauge* document_version = nullptr;
    prometheus::Gauge* epoch = nullptr;
};

struct entry_metrics::state {
    prometheus::Registry registry;
    detail::Family<detail::Counter>& outcomes = detail::make_family(
        detail::BuildCounter(), registry, "requests_total", "Jobs and requests by outcome class.");
    detail::Family<detail::Histogram>& response =
        detail::make_family(detail::BuildHistogram(), registry, "response_time_seconds",
                            "Time from the arrival of a job or request to its answer.");
    detail::Family<detail::Histogram>& queue_wait =
        detail::make_family(detail::BuildHistogram(), registry, "queue_wait_seconds",
                            "Time from the admission of a task to its dispatch.");
    detail::Family<detail::Gauge>& document_version =
        detail::make_family(detail::BuildGauge(), registry, "document_version",
                            "Version of the service document in force on this host.");
    detail::Family<detail::Gauge>& epoch = detail::make_family(
        detail::BuildGauge(), registry, "ownership_epoch",
        "Epoch under which this host owns the service in its zone; 0 when it does not.");
    std::array<detail::Counter*, detail::purpose_names.size()> messages = detail::add_counters(
        detail::make_family(detail::BuildCounter(), registry, "messages_sent_total",
                            "Messages sent by purpose."),
        "purpose", detail::purpose_names);
    std::array<detail::Counter*, detail::purpose_names.size()> bytes = detail::add_counters(
        detail::make_family(detail::BuildCounter(), registry, "message_bytes_sent_total",
                            "Encoded bytes of sent messages by purpose."),
        "purpose", detail::purpose_names);
    std::array<detail::Counter*, detail::cause_names.size()> wasted = detail::add_counters(
        detail::make_family(detail::BuildCounter(), registry, "messages_wasted_total",
                            "Messages that served no answer, by cause."),
        "cause", detail::cause_names);
    detail::Gauge& configuration_age =
        detail::make_family(detail::BuildGauge(), registry, "configuration_age_seconds",
                            "Time since a control host last confirmed the documents.")
            .Add({});
    detail::Gauge& dropped_log_lines =
        detail::make_family(detail::BuildGauge(), registry, "log_lines_dropped",
                            "Log lines dropped because the output was too slow.")
            .Add({});

    std::mutex mutex;
    std::map<std::string, service_metrics::handles, std::less<>> services;

    service_metrics::handles add_service(const std::string& service) {
        service_metrics::handles added;
        const prometheus::Labels labels{{"service", service}};
        for (std::size_t index = 0; index < detail::outcomes.size(); ++index) {
            const auto name = core::to_string(detail::outcomes.at(index));
            added.outcomes.at(index) =
                &outcomes.Add({{"service", service}, {"outcome", std::string{name}}});
        }
        added.response = &response.Add(labels, detail::response_bounds);
        added.queue_wait = &queue_wait.Add(labels, detail::wait_bounds);
        added.document_version = &document_version.Add(labels);
        added.epoch = &epoch.Add(labels);
        return added;
    }
};

void service_metrics::observe_response(core::outcome_class outcome,
                                       core::duration_ms duration) const {
    handles_->outcomes.at(static_cast<std::size_t>(outcome))->Increment();
    handles_->response->Observe(detail::to_seconds(duration));
}

void service_metrics::observe_queue_wait(core::duration_ms duration) const {
    handles_->queue_wait->Observe(detail::to_seconds(duration));
}

void service_metrics::set_document_version(std::uint64_t version) const {
    handles_->document_version->Set(static_cast<double>(version));
}

void service_metrics::set_epoch(std::uint64_t epoch) const {
    handles_->epoch->Set(static_cast<double>(epoch));
}

entry_metrics::entry_metrics() : state_(std::make_unique<state>()) {}
entry_metrics::~entry_metrics() = default;

service_metrics entry_metrics::for_service(std::string_view service) {
    const std::lock_guard lock{state_->mutex};
    auto found = state_->services.find(service);
    if (found == state_->services.end()) {
        const std::string label = state_->services.size() < max_services ? std::string{service} //
                                                                         : "other";
        found = state_->services.try_emplace(label).first;
        if (found->second.response == nullptr) {
            found->second = state_->add_service(label);
        }
    }
    return service_metrics{found->second};
}

void entry_metrics::count_sent(message_purpose purpose, std::uint64_t messages,
                               std::uint64_t bytes) {
    const auto index = static_cast<std::size_t>(purpose);
    state_->messages.at(index)->Increment(static_cast<double>(messages));
    state_->bytes.at(index)->Increment(static_cast<double>(bytes));
}

void entry_metrics::count_wasted(waste_cause cause, std::uint64_t messages) {
    state_->wasted.at(static_cast<std::size_t>(cause))->Increment(static_cast<double>(messages));
}

void entry_metrics::set_configuration_age(core::duration_ms age) {
    state_->configuration_age.Set(detail::to_seconds(age));
}

void entry_metrics::set_dropped_log_lines(std::uint64_t lines) {
    state_->dropped_log_lines.Set(static_cast<double>(lines));
}

std::string entry_metrics::render() const {
    return prometheus::TextSerializer{}.Serialize(state_->registry.Collect());
}

} // namespace hawthornstall::telemetry
