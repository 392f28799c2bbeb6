#include "hawthornstall/core/ms_clock.hpp"

#include <ctime>

namespace hawthornstall::core {

ms_clock::time_point ms_clock::now() noexcept {
    timespec since_boot{};
    clock_gettime(CLOCK_BOOTTIME, &since_boot);
    const auto time =
        std::chrono::seconds{since_boot.tv_sec} + std::chrono::nanoseconds{since_boot.tv_nsec};
    return time_point{std::chrono::duration_cast<duration>(time)};
}

ms_clock::time_point ms_clock::wall_now() noexcept {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_epoch)};
}

} // namespace hawthornstall::core
