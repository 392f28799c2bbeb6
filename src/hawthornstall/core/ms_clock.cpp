#include "hawthornstall/core/ms_clock.hpp"

namespace hawthornstall::core {

ms_clock::time_point ms_clock::now() noexcept {
    const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_start)};
}

ms_clock::time_point ms_clock::wall_now() noexcept {
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    return time_point{std::chrono::duration_cast<duration>(since_epoch)};
}

} // namespace hawthornstall::core
