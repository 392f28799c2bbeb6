#include "hawthornstall/runtime/failure_handler.hpp"

#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <string>
#include <string_view>
#include <sys/wait.h>
#include <unistd.h>

namespace hawthornstall::runtime {

/// Named in the expected stack, so it must have external linkage.
[[gnu::noinline]] void raise_in_named_function(int signal);

void raise_in_named_function(int signal) {
    raise(signal);
    _exit(EXIT_FAILURE);
}

namespace {

struct signal_case {
    std::string_view name;
    int signal;
    bool reported;
};

struct ended_child {
    int status = 0;     ///< As from waitpid().
    std::string output; ///< What it wrote to standard error.
};

[[noreturn]] void run_child(int signal, int error_output) {
    // doctest has handlers of its own, which a program does not have.
    std::signal(signal, SIG_DFL);
    dup2(error_output, STDERR_FILENO);
    install_failure_handler("/proc/self/exe");
    raise_in_named_function(signal);
    _exit(EXIT_FAILURE);
}

std::string read_all(int input) {
    std::string text;
    std::array<char, 4096> part{};
    for (ssize_t size = 0; (size = read(input, part.data(), part.size())) > 0;) {
        text.append(part.data(), static_cast<std::size_t>(size));
    }
    return text;
}

ended_child end_child_by(int signal) {
    std::array<int, 2> ends{};
    REQUIRE(pipe(ends.data()) == 0);
    const auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        run_child(signal, ends[1]);
    }
    close(ends[1]);
    ended_child ended{.output = read_all(ends[0])};
    close(ends[0]);
    REQUIRE(waitpid(child, &ended.status, 0) == child);
    return ended;
}

bool holds(std::string_view text, std::string_view part) {
    return text.find(part) != std::string_view::npos;
}

// Guards against a process that ends by a signal without a trace in its log, and against a report
// that changes how the process ends or how it shuts down on SIGTERM.
TEST_CASE("a process that ends by a signal names the signal and shows the stack") {
    constexpr std::array cases{
        signal_case{"SIGSEGV", SIGSEGV, true},  signal_case{"SIGBUS", SIGBUS, true},
        signal_case{"SIGILL", SIGILL, true},    signal_case{"SIGFPE", SIGFPE, true},
        signal_case{"SIGABRT", SIGABRT, true},  signal_case{"SIGTRAP", SIGTRAP, true},
        signal_case{"SIGTERM", SIGTERM, false}, signal_case{"SIGINT", SIGINT, false},
        signal_case{"SIGHUP", SIGHUP, false}};
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto ended = end_child_by(item.signal);
        CAPTURE(ended.output);
        CHECK(WIFSIGNALED(ended.status));
        CHECK(WTERMSIG(ended.status) == item.signal);
        CHECK(holds(ended.output, std::string{item.name} + " received") == item.reported);
        CHECK(holds(ended.output, "raise_in_named_function") == item.reported);
        CHECK(ended.output.empty() != item.reported);
    }
}

} // namespace
} // namespace hawthornstall::runtime
