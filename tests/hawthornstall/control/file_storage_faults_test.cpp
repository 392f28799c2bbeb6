#include "hawthornstall/control/storage_user.hpp"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <string_view>

namespace hawthornstall::control {
namespace {

struct fault_case {
    std::string_view name;
    disk_fault fault;
    unsigned seeds; ///< Number of random outcomes that are tried for what is not synced.
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
                    auto first = open_simulated(disk);
                    REQUIRE(first.ok());
                    REQUIRE(create_cluster(*first, 9).ok());
                    storage_user user{*first};
                    disk.set_fault(fault.fault, operation);
                    completed = work.work(user);
                    disk.restart(random);
                    const auto found = open_simulated(disk);
                    REQUIRE(found.ok());
                    CHECK(found->state().self.storage_id == sample_storage_id);
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
            auto first = open_simulated(disk);
            REQUIRE(first.ok());
            REQUIRE(create_cluster(*first, 9).ok());
            storage_user user{*first};
            REQUIRE(work.work(user));
            disk.set_fault(disk_fault::power_lost_after, operation);
            opened = open_simulated(disk).ok();
            disk.restart(random);
            const auto found = open_simulated(disk);
            REQUIRE(found.ok());
            CHECK(holds(*found, user.confirmed()));
        }
    }
}

} // namespace
} // namespace hawthornstall::control
