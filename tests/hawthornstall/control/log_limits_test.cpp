#include "hawthornstall/control/config_replica.hpp"
#include "hawthornstall/control/detail/file_storage_impl.hpp"
#include "hawthornstall/control/simulated_disk.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::control {
namespace {

using storage = basic_file_storage<simulated_files>;
using replica = config_replica<storage>;

const std::string folder = "/data";
constexpr std::uint64_t storage_id = 7;
constexpr core::duration_ms step{50};

/// A control host on its own, with its files on a simulated disk.
class lone_host {
public:
    lone_host() {
        settings.hosts = {"control-1"};
        open();
        for (int count = 0; count < 100; ++count) {
            advance();
        }
        REQUIRE(host->node().is_leader());
    }

    void open() {
        auto opened = storage::open(folder, "control-1", storage_id, {&disk});
        CAPTURE(opened.status().ToString());
        REQUIRE(opened.ok());
        auto created = replica::open(std::move(*opened), settings, 1, now);
        REQUIRE(created.ok());
        host.emplace(std::move(*created));
    }

    void advance() {
        now += step;
        host->tick(now);
        REQUIRE(host->finish(now).ok());
    }

    [[nodiscard]] std::size_t log_bytes() const {
        const auto& log = host->node().storage().log();
        return log.bytes_after(log.base().index);
    }

    consensus_settings settings;
    simulated_disk disk;
    core::time_ms now = core::from_count(1'000'000);
    std::optional<replica> host;
};

/// The smallest control hosts have 256 MB of memory and a disk of 128 MB, of which the log may take
/// an eighth and all files a half.
constexpr std::size_t memory_bytes = 32'000'000;
constexpr std::size_t disk_bytes = 64'000'000;

struct limit_case {
    std::string_view name;
    std::size_t config_bytes;
    std::uint64_t changes;
};

// Guards against a log of large configurations that fills the disk, and that no longer fits into
// memory when it is read at the next start: it was compacted by its number of entries.
TEST_CASE("the log stays within its limit of bytes in memory and on disk") {
    constexpr std::array cases{limit_case{"small", 300, 500}, limit_case{"large", 300'000, 240},
                               limit_case{"one alone exceeds the limit", 9'000'000, 6}};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        lone_host system;
        std::size_t most_in_memory = 0;
        for (std::uint64_t version = 1; version <= test.changes; ++version) {
            REQUIRE(system.host->submit(
                numbered_config{.version = version, .content = std::string(test.config_bytes, 'x')},
                version));
            system.advance();
            most_in_memory = std::max(most_in_memory, system.log_bytes());
        }
        CHECK(most_in_memory <= memory_bytes);
        CHECK(system.disk.most_bytes() <= disk_bytes);

        system.open();
        CHECK(system.log_bytes() <= memory_bytes);
        for (int count = 0; count < 100; ++count) {
            system.advance();
        }
        CHECK(system.host->store().numbered().version == test.changes);
    }
}

} // namespace
} // namespace hawthornstall::control
