#include "hawthornstall/runtime/failure_handler.hpp"

#include <absl/debugging/failure_signal_handler.h>
#include <absl/debugging/stacktrace.h>
#include <absl/debugging/symbolize.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <execinfo.h>
#include <span>

namespace hawthornstall::runtime {
namespace detail {

constexpr std::size_t max_frames = 64;

/// Unwinder for absl that uses the unwind tables. The one that absl has follows frame pointers,
/// which distribution packages for x86-64 are built without.
int unwind(void** frames, int* sizes, int max_depth, int skipped, const void* /*context*/,
           int* dropped) {
    std::array<void*, max_frames> found{};
    const auto count = std::max(backtrace(found.data(), static_cast<int>(found.size())), skipped);
    const auto depth = std::min(count - skipped, max_depth);
    const auto kept = std::span{found}.subspan(static_cast<std::size_t>(skipped),
                                               static_cast<std::size_t>(depth));
    std::copy(kept.begin(), kept.end(), frames);
    if (sizes != nullptr) {
        std::fill_n(sizes, depth, 0);
    }
    if (dropped != nullptr) {
        *dropped = count - skipped - depth;
    }
    return depth;
}

/// The first call of backtrace() loads a library, which a signal handler must not do.
void load_unwinder() {
    std::array<void*, 1> frame{};
    backtrace(frame.data(), static_cast<int>(frame.size()));
}

} // namespace detail

void install_failure_handler(const char* program_path) {
    detail::load_unwinder();
    absl::InitializeSymbolizer(program_path);
    absl::SetStackUnwinder(detail::unwind);
    // absl also handles SIGTERM, which requests an orderly shutdown here.
    struct sigaction termination {};
    sigaction(SIGTERM, nullptr, &termination);
    absl::InstallFailureSignalHandler({});
    sigaction(SIGTERM, &termination, nullptr);
}

} // namespace hawthornstall::runtime
