#include "hawthornstall/control/consensus_node.hpp"
#include "hawthornstall/control/detail/file_storage_impl.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/control/simulated_disk.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

using storage = basic_file_storage<simulated_files>;

constexpr std::uint64_t storage_id = 7;
const std::string folder = "/data";

absl::StatusOr<storage> open_storage(simulated_disk& disk) {
    return storage::open(folder, "control-1", storage_id, {&disk});
}

log_entry make_entry(std::uint64_t term, std::uint64_t index) {
    return {{term, index}, make_edit("edit-" + std::to_string(index), index)};
}

/// What the storage has confirmed, and so may not lose.
struct confirmed_state {
    hard_state state{};
    log_position snapshot{};
    std::vector<log_entry> entries{}; ///< After the snapshot.
};

/// Uses a storage as a member of the cluster does, and notes what each call has confirmed.
class storage_user {
public:
    explicit storage_user(storage& used) : storage_(&used) { confirm(); }

    [[nodiscard]] const confirmed_state& confirmed() const noexcept { return confirmed_; }

    [[nodiscard]] bool vote(std::uint64_t term) {
        auto state = storage_->state();
        state.term = term;
        state.voted_for = member_id{"control-2", term};
        return storage_->save_state(state).ok() && confirm();
    }

    /// Appends in `batches` calls, with one sync after the last.
    [[nodiscard]] bool append(std::uint64_t term, std::uint64_t first, std::uint64_t batches) {
        // A leader's entry that replaces another was never confirmed by a majority.
        std::erase_if(confirmed_.entries,
                      [&](const log_entry& entry) { return entry.position.index >= first; });
        for (std::uint64_t batch = 0; batch < batches; ++batch) {
            const std::vector entries{make_entry(term, first + 2 * batch),
                                      make_entry(term, first + 2 * batch + 1)};
            if (!storage_->append(entries).ok()) {
                return false;
            }
        }
        return storage_->sync().ok() && confirm();
    }

    [[nodiscard]] bool install(std::uint64_t term, std::uint64_t index) {
        log_snapshot snapshot;
        snapshot.position = {term, index};
        snapshot.state.revision = index;
        return storage_->install(snapshot).ok() && confirm();
    }

private:
    bool confirm() {
        const auto kept = storage_->log().entries_from(storage_->log().base().index + 1);
        confirmed_ = {.state = storage_->state(),
                      .snapshot = storage_->log().base(),
                      .entries = {kept.begin(), kept.end()}};
        return true;
    }

    storage* storage_;
    confirmed_state confirmed_;
};

/// Whether `found` holds all that was confirmed; it may hold more that was written meanwhile.
bool holds(const storage& found, const confirmed_state& confirmed) {
    const auto base = found.log().base();
    if (found.state().term < confirmed.state.term ||
        (found.state().term == confirmed.state.term && found.state() != confirmed.state) ||
        base.index < confirmed.snapshot.index) {
        return false;
    }
    return std::ranges::all_of(confirmed.entries, [&](const log_entry& entry) {
        return entry.position.index <= base.index ||
               found.log().term_at(entry.position.index) == entry.position.term;
    });
}

struct work_case {
    std::string_view name;
    std::function<bool(storage_user&)> work; ///< Returns false at the first failed call.
};

struct fault_case {
    std::string_view name;
    disk_fault fault;
    unsigned seeds; ///< Number of random outcomes that are tried for what is not synced.
};

const std::array work_cases{
    work_case{"votes",
              [](storage_user& user) {
                  return user.vote(4) && user.vote(5);
              }},
    work_case{"entries",
              [](storage_user& user) {
                  return user.append(1, 2, 1) && user.append(1, 4, 1);
              }},
    work_case{"entries of several calls that share a sync",
              [](storage_user& user) {
                  return user.append(1, 2, 3) && user.append(1, 8, 3);
              }},
    work_case{"entries that replace others",
              [](storage_user& user) {
                  return user.append(1, 2, 2) && user.vote(2) && user.append(2, 3, 1);
              }},
    work_case{"a snapshot between entries",
              [](storage_user& user) {
                  return user.append(1, 2, 2) && user.install(1, 3) && user.append(1, 6, 1);
              }},
    work_case{"a snapshot of another history",
              [](storage_user& user) {
                  return user.append(1, 2, 2) && user.install(2, 9) && user.append(2, 10, 1);
              }},
};

// Guards against a control host that loses a vote or an entry that it has confirmed, or that finds
// its own folder damaged, because an operation of its disk failed or its machine lost power.
TEST_CASE("nothing confirmed is lost at a fault of any file operation") {
    constexpr std::array faults{
        fault_case{"the operation fails", disk_fault::fails, 1},
        fault_case{"the operation fails halfway", disk_fault::fails_halfway, 1},
        fault_case{"power is lost before it", disk_fault::power_lost_before, 12},
        fault_case{"power is lost after it", disk_fault::power_lost_after, 12},
        fault_case{"power and all that is not synced are lost", disk_fault::power_lost_unsynced, 1},
    };
    for (const auto& work : work_cases) {
        for (const auto& fault : faults) {
            for (unsigned seed = 0; seed < fault.seeds; ++seed) {
                bool completed = false;
                for (std::size_t operation = 1; !completed; ++operation) {
                    CAPTURE(work.name);
                    CAPTURE(fault.name);
                    CAPTURE(seed);
                    CAPTURE(operation);
                    std::mt19937 random{seed};
                    simulated_disk disk;
                    auto first = open_storage(disk);
                    REQUIRE(first.ok());
                    REQUIRE(create_cluster(*first, 9).ok());
                    storage_user user{*first};
                    disk.set_fault(fault.fault, operation);
                    completed = work.work(user);
                    disk.restart(random);
                    const auto found = open_storage(disk);
                    REQUIRE(found.ok());
                    CHECK(found->state().self.storage_id == storage_id);
                    CHECK(holds(*found, user.confirmed()));
                }
            }
        }
    }
}

// Guards against a fault during recovery that destroys what the recovery still needs.
TEST_CASE("a fault while a folder is opened loses nothing") {
    for (const auto& work : work_cases) {
        bool opened = false;
        for (std::size_t operation = 1; !opened; ++operation) {
            CAPTURE(work.name);
            CAPTURE(operation);
            std::mt19937 random{static_cast<unsigned>(operation)};
            simulated_disk disk;
            auto first = open_storage(disk);
            REQUIRE(first.ok());
            REQUIRE(create_cluster(*first, 9).ok());
            storage_user user{*first};
            REQUIRE(work.work(user));
            disk.set_fault(disk_fault::power_lost_after, operation);
            opened = open_storage(disk).ok();
            disk.restart(random);
            const auto found = open_storage(disk);
            REQUIRE(found.ok());
            CHECK(holds(*found, user.confirmed()));
        }
    }
}

} // namespace
} // namespace hawthornstall::control
