#include "hawthornstall/runtime/wakeup.hpp"

#include <cerrno>
#include <cstdint>
#include <sys/eventfd.h>
#include <system_error>
#include <unistd.h>

namespace hawthornstall::runtime {

wakeup::wakeup() : descriptor_(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
    if (descriptor_ < 0) {
        throw std::system_error{errno, std::generic_category(), "eventfd"};
    }
}

wakeup::~wakeup() {
    close(descriptor_);
}

void wakeup::signal() const noexcept {
    const std::uint64_t one = 1;
    // The write fails only when the counter is full, and then the descriptor is already readable.
    [[maybe_unused]] const auto written = write(descriptor_, &one, sizeof one);
}

void wakeup::clear() const noexcept {
    std::uint64_t count = 0;
    [[maybe_unused]] const auto bytes = read(descriptor_, &count, sizeof count);
}

} // namespace hawthornstall::runtime
