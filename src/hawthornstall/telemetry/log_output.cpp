#include "hawthornstall/telemetry/log_output.hpp"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include <atomic>
#include <cstdio>
#include <iostream>

namespace hawthornstall::telemetry {
namespace detail {

/// The library makes the strategy a static part of the queue type, hence the static count.
std::atomic<std::uint64_t>& overflow_counter() {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

/// Drops a record when the queue is full, as the library's drop_on_overflow does, and counts it.
struct count_on_overflow {
    template <class Lock>
    static bool on_overflow(const boost::log::record_view& /*record*/, Lock& /*lock*/) {
        ++overflow_counter();
        return false;
    }
    static void on_queue_space_available() {}
    static void interrupt() {}
};

using backend = boost::log::sinks::text_ostream_backend;
using frontend = boost::log::sinks::asynchronous_sink<
    backend, boost::log::sinks::bounded_fifo_queue<log_output::queue_capacity, count_on_overflow>>;

} // namespace detail

struct log_output::state {
    std::atomic<core::log_level> level;
    std::shared_ptr<std::ostream> stream;
    boost::shared_ptr<detail::frontend> sink;
    boost::log::sources::severity_logger_mt<core::log_level> source;
};

log_output::log_output(std::shared_ptr<std::ostream> stream, core::log_level level)
    : state_(std::make_unique<state>()) {
    state_->level = level;
    state_->stream = std::move(stream);
    const auto backend = boost::make_shared<detail::backend>();
    // The state outlives the sink, so the backend need not own the stream.
    backend->add_stream({state_->stream.get(), [](std::ostream*) {
                         }});
    backend->auto_flush(true);
    state_->sink = boost::make_shared<detail::frontend>(backend);
    state_->sink->set_formatter(boost::log::expressions::stream
                                << boost::log::expressions::smessage);
    detail::overflow_counter() = 0;
    boost::log::core::get()->add_sink(state_->sink);
}

log_output::~log_output() {
    try {
        boost::log::core::get()->remove_sink(state_->sink);
        state_->sink->stop();
        state_->sink->flush();
    } catch (...) {
        // The lines cannot be logged any more, and the library may throw types of its own.
        std::fputs("log output could not be flushed\n", stderr);
    }
}

void log_output::set_level(core::log_level level) noexcept {
    state_->level = level;
}

core::log_level log_output::level() const noexcept {
    return state_->level;
}

void log_output::write(core::log_level level, std::string_view line) {
    BOOST_LOG_SEV(state_->source, level) << line;
}

void log_output::flush() {
    state_->sink->flush();
}

std::uint64_t log_output::overflow_count() const noexcept {
    return detail::overflow_counter();
}

std::shared_ptr<std::ostream> standard_error() {
    return {&std::cerr, [](std::ostream*) {
            }};
}

} // namespace hawthornstall::telemetry
