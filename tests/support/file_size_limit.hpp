#pragma once

/// Simulation of a full disk for tests.

#include <csignal>
#include <sys/resource.h>

namespace hawthornstall::testing {

/// Sets the file size limit of the process to 0 during its lifetime, so that writes to
/// files fail as on a full disk.
class file_size_limit {
public:
    file_size_limit() {
        getrlimit(RLIMIT_FSIZE, &before_);
        // Without this, SIGXFSZ would end the process before the write could return an error.
        handler_ = std::signal(SIGXFSZ, SIG_IGN);
        const rlimit none{.rlim_cur = 0, .rlim_max = before_.rlim_max};
        setrlimit(RLIMIT_FSIZE, &none);
    }
    ~file_size_limit() {
        setrlimit(RLIMIT_FSIZE, &before_);
        std::signal(SIGXFSZ, handler_);
    }
    file_size_limit(const file_size_limit&) = delete;
    file_size_limit& operator=(const file_size_limit&) = delete;
    file_size_limit(file_size_limit&&) = delete;
    file_size_limit& operator=(file_size_limit&&) = delete;

private:
    rlimit before_{};
    void (*handler_)(int) = SIG_DFL;
};

} // namespace hawthornstall::testing
