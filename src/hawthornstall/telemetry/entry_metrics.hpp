#pragma once

/// Metrics of an entry host, rendered in the Prometheus text format.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/core/outcome.hpp"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace hawthornstall::telemetry {

/// Why a message between hosts, or to a target, did not contribute to an answer.
enum class waste_cause : std::uint8_t {
    rejected,        ///< The receiver could not accept the work.
    resent,          ///< Sent again after the first copy had arrived.
    failed_attempt,  ///< The target failed, and the task was retried.
    lost_hedge,      ///< Second attempt, sent as a hedge, whose answer came too late.
    cancelled,       ///< The work was cancelled after it had been sent.
    late_answer,     ///< Answer to an older attempt or after the deadline.
    connection_lost, ///< The connection broke before the answer.
};

/// Purpose of a message between processes of the system, or to a target.
enum class message_purpose : std::uint8_t {
    dispatch,      ///< To and from targets.
    forward,       ///< Jobs and answers between entry hosts.
    journal,       ///< Start records and recovery.
    membership,    ///< Heartbeats and target updates.
    configuration, ///< Documents and edits.
};

/// Metrics of one service. Valid as long as the entry_metrics that made it; safe from any thread.
class service_metrics {
public:
    /// Records how a job or request ended and its response time as seen by the caller.
    void observe_response(core::outcome_class outcome, core::duration_ms duration) const;

    /// Records the time between admission and dispatch of a task.
    void observe_queue_wait(core::duration_ms duration) const;

    /// Sets the version of the document in force on this host.
    void set_document_version(std::uint64_t version) const;

    /// Sets the epoch under which this host owns the service in its zone; 0 when it does not.
    void set_epoch(std::uint64_t epoch) const;

private:
    friend class entry_metrics;
    struct handles;
    explicit service_metrics(const handles& metrics) : handles_(&metrics) {}

    const handles* handles_;
};

/// Registry of one entry host. All members are safe from any thread.
class entry_metrics {
public:
    /// Maximum number of services with time series of their own. Later ones share the label
    /// "other", so that the number of series is bounded.
    static constexpr std::size_t max_services = 100;

    entry_metrics();
    ~entry_metrics();
    entry_metrics(const entry_metrics&) = delete;
    entry_metrics& operator=(const entry_metrics&) = delete;
    entry_metrics(entry_metrics&&) = delete;
    entry_metrics& operator=(entry_metrics&&) = delete;

    /// Metrics of `service`. Locks a mutex, so loop tasks keep the result instead of calling this
    /// for each event.
    [[nodiscard]] service_metrics for_service(std::string_view service);

    /// Counts sent messages and their encoded size.
    void count_sent(message_purpose purpose, std::uint64_t messages, std::uint64_t bytes);

    /// Counts messages that did not contribute to an answer.
    void count_wasted(waste_cause cause, std::uint64_t messages = 1);

    /// Sets the time since a control host last confirmed the documents. To be called before each
    /// render().
    void set_configuration_age(core::duration_ms age);

    /// Sets the number of lines that the log output has dropped since the start of the process.
    void set_dropped_log_lines(std::uint64_t lines);

    /// All metrics in the Prometheus text format, version 0.0.4.
    [[nodiscard]] std::string render() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace hawthornstall::telemetry
