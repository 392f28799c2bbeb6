#include "hawthornstall/telemetry/log_output.hpp"

#include "hawthornstall/runtime/loop_task.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <atomic>
#include <cstdio>
#include <future>
#include <iostream>
#include <string>
#include <utility>
#include <variant>

namespace hawthornstall::telemetry {
namespace detail {

/// A formatted line to be written.
struct log_line {
    core::log_level level = core::log_level::info;
    std::string text;
};

/// Request to set `done` once all lines queued before it are in the stream.
struct flush_request {
    std::promise<void> done;
};

/// Logic of the task that owns the Boost.Log sink and the stream.
class line_writer {
public:
    using message = std::variant<log_line, flush_request>;

    explicit line_writer(std::shared_ptr<std::ostream> stream) : stream_(std::move(stream)) {
        const auto backend = boost::make_shared<boost::log::sinks::text_ostream_backend>();
        // The stream outlives the sink, so the backend need not own it.
        backend->add_stream({stream_.get(), [](std::ostream*) {
                             }});
        backend->auto_flush(true);
        sink_ = boost::make_shared<sink>(backend);
        sink_->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(sink_);
    }

    ~line_writer() {
        try {
            boost::log::core::get()->remove_sink(sink_);
        } catch (...) {
            // The library may throw types that are not derived from std::exception, and the log
            // can no longer be used to report them.
            std::fputs("log output could not be closed\n", stderr);
        }
    }
    line_writer(const line_writer&) = delete;
    line_writer& operator=(const line_writer&) = delete;
    line_writer(line_writer&&) = delete;
    line_writer& operator=(line_writer&&) = delete;

    void attach(runtime::event_loop& /*loop*/) {}

    void handle(message item) {
        std::visit([this](auto& content) { process(content); }, item);
    }

private:
    using sink = boost::log::sinks::synchronous_sink<boost::log::sinks::text_ostream_backend>;

    void process(const log_line& line) { BOOST_LOG_SEV(source_, line.level) << line.text; }
    void process(flush_request& request) { request.done.set_value(); }

    std::shared_ptr<std::ostream> stream_;
    boost::shared_ptr<sink> sink_;
    boost::log::sources::severity_logger<core::log_level> source_;
};

} // namespace detail

struct log_output::state {
    state(std::shared_ptr<std::ostream> stream, core::log_level lowest)
        : level(lowest), inbox(runtime::make_mailbox<detail::line_writer::message>(queue_capacity)),
          task(inbox, std::move(stream)) {}

    std::atomic<core::log_level> level;
    std::atomic<std::uint64_t> overflow_count{0};
    runtime::address<detail::line_writer::message> inbox;
    runtime::loop_task<detail::line_writer> task;
};

log_output::log_output(std::shared_ptr<std::ostream> stream, core::log_level level)
    : state_(std::make_unique<state>(std::move(stream), level)) {}

log_output::~log_output() = default;

void log_output::set_level(core::log_level level) noexcept {
    state_->level = level;
}

core::log_level log_output::level() const noexcept {
    return state_->level;
}

void log_output::write(core::log_level level, std::string_view line) {
    if (!state_->inbox->post(detail::log_line{.level = level, .text = std::string{line}})) {
        ++state_->overflow_count;
    }
}

bool log_output::flush() {
    detail::flush_request request;
    auto done = request.done.get_future();
    if (!state_->inbox->post(std::move(request))) {
        return false;
    }
    done.wait();
    return true;
}

std::uint64_t log_output::overflow_count() const noexcept {
    return state_->overflow_count;
}

std::shared_ptr<std::ostream> standard_output() {
    return {&std::cout, [](std::ostream*) {
            }};
}

std::shared_ptr<std::ostream> standard_error() {
    return {&std::cerr, [](std::ostream*) {
            }};
}

} // namespace hawthornstall::telemetry
