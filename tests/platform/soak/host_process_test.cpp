#include "hawthornstall/control/scratch_folder.hpp"
#include "platform/soak/host_process.hpp"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <fcntl.h>
#include <poll.h>
#include <string>
#include <string_view>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace hawthornstall::platform::soak {
namespace {

/// What the test does once the script has printed "ready".
enum class test_action : std::uint8_t {
    await_end,
    kill,
    await_end_and_kill,
    terminate,
    terminate_and_await_end_and_kill,
};

struct end_case {
    std::string_view name;
    std::string script;
    test_action action;
    std::string_view description;
    bool as_requested;
};

constexpr int ready_limit_ms = 10'000;

/// Named pipe that takes the place of a log file, so that a test can wait for output.
class log_pipe {
public:
    explicit log_pipe(std::string path) : path_(std::move(path)) {
        REQUIRE(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR) == 0);
        descriptor_ = open(path_.c_str(), O_RDONLY | O_NONBLOCK | O_CLOEXEC);
        REQUIRE(descriptor_ >= 0);
    }
    ~log_pipe() { close(descriptor_); }
    log_pipe(const log_pipe&) = delete;
    log_pipe& operator=(const log_pipe&) = delete;
    log_pipe(log_pipe&&) = delete;
    log_pipe& operator=(log_pipe&&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

    /// Waits until the process prints "ready". Fails if it ends without that or prints other text.
    void await_ready() const {
        pollfd waiting{.fd = descriptor_, .events = POLLIN, .revents = 0};
        REQUIRE(::poll(&waiting, 1, ready_limit_ms) == 1);
        std::array<char, 64> buffer{};
        const auto received = read(descriptor_, buffer.data(), buffer.size());
        REQUIRE(received > 0);
        REQUIRE(std::string_view{buffer.data(), static_cast<std::size_t>(received)} == "ready\n");
    }

private:
    std::string path_;
    int descriptor_ = -1;
};

/// Waits until a child of this process has ended, and leaves it to be reaped.
void wait_for_child() {
    siginfo_t info{};
    REQUIRE(waitid(P_ALL, 0, &info, WEXITED | WNOWAIT) == 0);
}

void carry_out(test_action action, host_process& process) {
    using enum test_action;
    if (action == terminate || action == terminate_and_await_end_and_kill) {
        process.signal(SIGTERM);
    }
    if (action != kill) {
        wait_for_child();
    }
    if (action == await_end || action == terminate) {
        REQUIRE_FALSE(process.poll());
    } else {
        process.kill();
    }
}

// Guards against a crash that is taken for the effect of a kill or a shutdown, so that the soak
// does not report it.
TEST_CASE("the end of a process is as requested only if the signal caused it") {
    using enum test_action;
    const std::string on_term = "; echo ready; while :; do sleep 0.01; done";
    const std::array cases{
        end_case{"killed", "echo ready; exec sleep 60", kill, "signal 9", true},
        end_case{"crashed before the kill", "echo ready; kill -SEGV $$", await_end_and_kill,
                 "signal 11", false},
        end_case{"exited before the kill", "echo ready", await_end_and_kill, "status 0", false},
        end_case{"shut down", "trap 'exit 0' TERM" + on_term, terminate, "status 0", true},
        end_case{"shut down without a handler", "echo ready; exec sleep 60", terminate, "signal 15",
                 true},
        end_case{"shut down before the kill", "trap 'exit 0' TERM" + on_term,
                 terminate_and_await_end_and_kill, "status 0", true},
        end_case{"crashed during the shutdown", "trap 'kill -SEGV $$' TERM" + on_term, terminate,
                 "signal 11", false},
        end_case{"failed during the shutdown", "trap 'exit 1' TERM" + on_term, terminate,
                 "status 1", false},
        end_case{"crashed during the shutdown, before the kill",
                 "trap 'kill -SEGV $$' TERM" + on_term, terminate_and_await_end_and_kill,
                 "signal 11", false},
        end_case{"crashed without a signal", "echo ready; kill -SEGV $$", await_end, "signal 11",
                 false},
        end_case{"exited without a signal", "echo ready", await_end, "status 0", false},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const control::scratch_folder folder;
        const log_pipe log{folder.path() + "/log"};
        host_process process{{"/bin/sh", "-c", item.script}, log.path()};
        process.start();
        log.await_ready();
        carry_out(item.action, process);
        CHECK_FALSE(process.is_running());
        CHECK(process.exit_description() == item.description);
        CHECK(process.ended_as_requested() == item.as_requested);
    }
}

// Guards against a restarted process whose crash is excused by a signal to an earlier one.
TEST_CASE("a signal to an earlier process excuses no later end") {
    const control::scratch_folder folder;
    const log_pipe log{folder.path() + "/log"};
    host_process process{{"/bin/sh", "-c", "echo ready; exec sleep 60"}, log.path()};
    process.start();
    log.await_ready();
    process.signal(SIGTERM);
    process.kill();
    process.start();
    process.signal(SIGKILL);
    wait_for_child();
    CHECK_FALSE(process.poll());
    CHECK_FALSE(process.ended_as_requested());
}

} // namespace
} // namespace hawthornstall::platform::soak
