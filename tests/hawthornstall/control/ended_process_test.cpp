#include "hawthornstall/control/storage_user.hpp"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string_view>

namespace hawthornstall::control {
namespace {

struct end_case {
    std::string_view name;
    disk_fault fault;
};

constexpr std::array end_cases{
    end_case{"the process ends before the operation", disk_fault::fails},
    end_case{"the process ends within a write", disk_fault::fails_halfway},
};

constexpr std::array losses{disk_fault::power_lost_after, disk_fault::power_lost_unsynced};

constexpr unsigned seeds = 6;

/// Entries that the restarted process appends, each with a sync of its own.
constexpr std::uint64_t appended = 3;

/// Confirms what a restarted process has read, and then some entries.
storage_user confirm_more(simulated_storage& storage) {
    storage_user user{storage};
    const auto term = std::max(storage.log().last().term, storage.state().term);
    for (std::uint64_t count = 0; count < appended; ++count) {
        REQUIRE(user.append(term, storage.log().last().index + 1, 1));
    }
    return user;
}

void lose_power(simulated_disk& disk, disk_fault loss, std::mt19937& random) {
    disk.set_fault(loss, 1);
    static_cast<void>(simulated_files{&disk}.read("/any"));
    disk.restart(random);
}

/// Lets the process end at `operation` of `work`, and loses power after the next one has confirmed
/// more. False when `work` has fewer operations.
bool end_process_then_lose_power(const work_case& work, disk_fault end, disk_fault loss,
                                 std::size_t operation, std::mt19937& random) {
    simulated_disk disk;
    auto first = open_simulated(disk);
    REQUIRE((first.ok() && create_cluster(*first, 9).ok()));
    storage_user user{*first};
    disk.set_fault(end, operation);
    const bool completed = work.work(user);
    disk.restart(random);
    auto second = open_simulated(disk);
    REQUIRE(second.ok());
    const auto next = confirm_more(*second);
    lose_power(disk, loss, random);
    const auto found = open_simulated(disk);
    REQUIRE(found.ok());
    CHECK((holds(*found, next.confirmed()) && !found->has_lost_entries()));
    return !completed;
}

// Guards against a member that confirms votes or entries which it has read after a restart of its
// process, and which a later loss of power takes away, because the name of a replaced file was not
// durable yet.
TEST_CASE("what a restarted process has read outlasts a loss of power") {
    for (const auto& work : work_cases) {
        for (const auto& end : end_cases) {
            for (unsigned seed = 0; seed < seeds; ++seed) {
                CAPTURE(work.name);
                CAPTURE(end.name);
                CAPTURE(seed);
                std::mt19937 random{seed};
                const auto loss = losses.at(seed % losses.size());
                std::size_t operation = 1;
                while (end_process_then_lose_power(work, end.fault, loss, operation, random)) {
                    ++operation;
                }
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::control
