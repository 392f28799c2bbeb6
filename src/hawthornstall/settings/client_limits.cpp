#include "hawthornstall/settings/client_limits.hpp"

#include <algorithm>
#include <sys/resource.h>

namespace hawthornstall::settings {

client_limits derive_client_limits(const seeded_settings& settings, std::uint64_t open_file_limit) {
    constexpr std::uint64_t bytes_per_mb = 1'000'000;
    constexpr std::uint64_t memory_divisor = 4;
    constexpr std::uint64_t descriptors_of_the_system = 200;
    constexpr std::uint64_t descriptor_divisor = 2;
    constexpr std::uint64_t fewest_connections = 16;
    client_limits limits{.max_bytes = settings.max_client_bytes,
                         .max_connections = settings.max_client_connections};
    if (limits.max_bytes == 0) {
        limits.max_bytes = settings.memory_mb * bytes_per_mb / memory_divisor;
    }
    if (limits.max_connections == 0) {
        const auto descriptors = settings.file_descriptors == 0
                                     ? open_file_limit
                                     : std::min(settings.file_descriptors, open_file_limit);
        const auto left = descriptors - std::min(descriptors, descriptors_of_the_system);
        limits.max_connections = std::max(left / descriptor_divisor, fewest_connections);
    }
    return limits;
}

std::uint64_t open_file_limit() {
    rlimit limit{};
    // A failure leaves 0, for which the fewest connections are allowed.
    (void)getrlimit(RLIMIT_NOFILE, &limit);
    return limit.rlim_cur;
}

} // namespace hawthornstall::settings
