#include "hawthornstall/control/simulated_disk.hpp"
#include "hawthornstall/control/synced_position_file.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

using position_file = synced_position_file<simulated_files>;

const std::string path = "/data/synced";

/// Positions of one file in the order in which they were written.
class position_history {
public:
    /// A position that differs from all others, higher or lower than the last one.
    log_position add() {
        ++count_;
        constexpr std::uint64_t middle = 1'000'000;
        written_.push_back({1, count_ % 3 == 0 ? middle - count_ : middle + count_});
        return written_.back();
    }

    /// All positions that are written up to now can no longer be lost.
    void make_durable() { durable_ = written_.size(); }

    /// Whether `found` is the last durable position or one that was written after it.
    [[nodiscard]] bool allows(const std::optional<log_position>& found) const {
        if (!found) {
            return durable_ == 0;
        }
        const auto first = written_.begin() + static_cast<std::ptrdiff_t>(durable_);
        return std::find(durable_ == 0 ? first : first - 1, written_.end(), *found) !=
               written_.end();
    }

    /// Forgets the positions that were lost: none of them may show up again.
    void keep_up_to(const std::optional<log_position>& found) {
        while (!written_.empty() && written_.back() != found) {
            written_.pop_back();
        }
    }

    [[nodiscard]] std::optional<log_position> last() const {
        return written_.empty() ? std::nullopt : std::optional{written_.back()};
    }

    [[nodiscard]] bool contains(const log_position& position) const {
        return std::ranges::find(written_, position) != written_.end();
    }

private:
    std::vector<log_position> written_;
    std::size_t durable_ = 0; ///< Number of positions.
    std::uint64_t count_ = 0;
};

/// Writes `count` positions, about every eighth of them synced. False after the first failed call.
bool write_positions(position_file& file, simulated_files& files, position_history& history,
                     std::size_t count, std::mt19937& random) {
    for (std::size_t written = 0; written < count; ++written) {
        const bool is_synced = random() % 8 == 0;
        const auto position = history.add();
        const auto status =
            is_synced ? file.write_synced(files, position) : file.write(files, position);
        if (!status.ok()) {
            return false;
        }
        // The first write after open() is synced as well.
        if (is_synced || written == 0) {
            history.make_durable();
        }
    }
    return true;
}

/// Opens the file on `disk` and writes to it. False after the first failed call.
bool use_file(simulated_disk& disk, position_history& history, std::size_t count,
              std::mt19937& random) {
    simulated_files files{&disk};
    const auto content = files.read(path);
    if (!content.ok()) {
        return false;
    }
    position_file file;
    if (!file.open(files, path, *content).ok()) {
        return false;
    }
    history.make_durable();
    return write_positions(file, files, history, count, random);
}

/// What the file holds after a restart of the machine.
std::optional<log_position> find_position(simulated_disk& disk) {
    const auto found = disk.find(path);
    return position_file::read(found == nullptr ? std::nullopt : std::optional{found->content});
}

/// Loses the power at `operation` of the first start, and at random operations of later ones.
/// Returns whether the first start has reached that operation.
bool check_restarts(write_extent extent, std::size_t count, unsigned seed, std::size_t operation) {
    constexpr int restarts = 4;
    std::mt19937 random{seed};
    simulated_disk disk;
    position_history history;
    bool is_reached = false;
    for (int restart = 0; restart < restarts; ++restart) {
        CAPTURE(restart);
        const auto fault_at = restart == 0 ? operation : 1 + random() % (2 * count);
        disk.set_fault(disk_fault::power_lost_after, fault_at);
        const bool completed = use_file(disk, history, count, random);
        is_reached = is_reached || (restart == 0 && !completed);
        disk.restart(random, std::span{&extent, 1});
        const auto found = find_position(disk);
        CHECK(history.allows(found));
        if (completed) {
            CHECK(found == history.last());
        }
        history.keep_up_to(found);
    }
    return is_reached;
}

// Guards against a position that is later than the log was synced, which makes a torn write look
// like damage, and against one that was lost after it was made durable, which hides damage.
TEST_CASE("a loss of power leaves a position that was written after the last durable one") {
    constexpr std::array<std::size_t, 3> counts{2, 9, position_file::max_unsynced_writes + 6};
    constexpr unsigned seeds = 12;
    for (const auto extent : torn_extents) {
        for (const auto count : counts) {
            for (unsigned seed = 0; seed < seeds; ++seed) {
                bool is_reached = true;
                for (std::size_t operation = 1; is_reached; ++operation) {
                    CAPTURE(static_cast<int>(extent));
                    CAPTURE(count);
                    CAPTURE(seed);
                    CAPTURE(operation);
                    is_reached = check_restarts(extent, count, seed, operation);
                }
            }
        }
    }
}

// Guards against unsynced writes without a limit, after which a loss of power would leave a
// position from long before.
TEST_CASE("at most a fixed number of writes is not synced") {
    simulated_disk disk;
    simulated_files files{&disk};
    position_file file;
    REQUIRE(file.open(files, path, std::nullopt).ok());
    constexpr std::uint64_t writes = 10 * position_file::max_unsynced_writes;
    for (std::uint64_t index = 1; index <= writes; ++index) {
        REQUIRE(file.write(files, {1, index}).ok());
        const auto durable = position_file::read(disk.find(path)->durable);
        REQUIRE(durable.has_value());
        CHECK(durable->index + position_file::max_unsynced_writes >= index);
    }
}

struct flip_case {
    std::string_view name;
    std::size_t writes;
};

// Guards against an altered slot that is taken for a position.
TEST_CASE("a flipped bit never yields a position that was not written") {
    constexpr std::array cases{flip_case{"one slot", 1}, flip_case{"both slots", 2},
                               flip_case{"slots overwritten several times", 9}};
    for (const auto& row : cases) {
        CAPTURE(row.name);
        std::mt19937 random{1};
        simulated_disk disk;
        position_history history;
        REQUIRE(use_file(disk, history, row.writes, random));
        const auto content = disk.find(path)->content;
        for (std::size_t byte = 0; byte < content.size(); ++byte) {
            for (int bit = 0; bit < 8; ++bit) {
                CAPTURE(byte);
                CAPTURE(bit);
                auto altered = content;
                altered[byte] = static_cast<char>(altered[byte] ^ (1 << bit));
                const auto found = position_file::read(altered);
                CHECK((!found || history.contains(*found)));
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::control
