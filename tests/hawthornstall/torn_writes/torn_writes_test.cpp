#include "hawthornstall/control/storage_user.hpp"

#include <doctest/doctest.h>

#include <array>
#include <random>
#include <span>
#include <string_view>

namespace hawthornstall::control {
namespace {

struct torn_case {
    std::string_view name;
    write_extent extent;
};

constexpr std::array torn_cases{
    torn_case{"a prefix, the file ends after it", write_extent::prefix},
    torn_case{"a prefix of sectors, then zeros", write_extent::prefix_of_sectors},
    torn_case{"a prefix of bytes, then zeros", write_extent::prefix_of_bytes},
    torn_case{"a prefix, then noise", write_extent::prefix_then_noise},
    torn_case{"sectors in any order", write_extent::some_sectors},
    torn_case{"pages in any order", write_extent::some_pages},
    torn_case{"the end without the beginning", write_extent::suffix},
};

constexpr unsigned seeds = 12;

/// Loses the power at each operation of `work` in turn, and checks what is found afterwards.
void check_power_loss(const work_case& work, write_extent extent, unsigned seed) {
    bool completed = false;
    for (std::size_t operation = 1; !completed; ++operation) {
        CAPTURE(operation);
        std::mt19937 random{seed};
        simulated_disk disk;
        auto first = open_simulated(disk);
        REQUIRE(first.ok());
        REQUIRE(create_cluster(*first, 9).ok());
        storage_user user{*first};
        disk.set_fault(disk_fault::power_lost_after, operation);
        completed = work.work(user);
        disk.restart(random, std::span{&extent, 1});
        const auto found = open_simulated(disk);
        INFO(found.status().ToString());
        CHECK(found.ok());
        if (!found.ok()) {
            continue;
        }
        CHECK(found->state().self.storage_id == sample_storage_id);
        CHECK(holds(*found, user.confirmed()));
    }
}

// Guards against a write that was torn by a loss of power, and that nobody has confirmed, being
// taken for damage of the folder. A host that finds its folder damaged gives up its vote, and all
// hosts write the same entry at the moment of a common loss of power.
TEST_CASE("a write torn in any way is not taken for damage") {
    for (const auto& torn : torn_cases) {
        for (const auto& work : work_cases) {
            for (unsigned seed = 0; seed < seeds; ++seed) {
                CAPTURE(torn.name);
                CAPTURE(work.name);
                CAPTURE(seed);
                check_power_loss(work, torn.extent, seed);
            }
        }
    }
}

// Guards against a member that the creation of a cluster, interrupted by a loss of power, has left
// without a cluster and yet as its only voter: it would lead alone.
TEST_CASE("an interrupted creation of a cluster leaves a new member or the whole cluster") {
    for (const auto& torn : torn_cases) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            bool completed = false;
            for (std::size_t operation = 1; !completed; ++operation) {
                CAPTURE(torn.name);
                CAPTURE(seed);
                CAPTURE(operation);
                std::mt19937 random{seed};
                simulated_disk disk;
                disk.set_fault(disk_fault::power_lost_after, operation);
                auto first = open_simulated(disk);
                completed = first.ok() && create_cluster(*first, 9).ok();
                disk.restart(random, std::span{&torn.extent, 1});
                const auto found = open_simulated(disk);
                INFO(found.status().ToString());
                REQUIRE(found.ok());
                const bool has_members = !found->log().members_at(1).voters.empty();
                CHECK(has_members == (found->state().cluster_id == 9));
                CHECK_FALSE(found->has_lost_entries());
            }
        }
    }
}

// Guards against a second loss of power before the folder has been synced again. The first one may
// have kept the new name of the state file and the temporary one too, so that both name the same
// file. A damaged state file is a lost vote.
TEST_CASE("a second loss of power while the state is replaced is not taken for damage") {
    constexpr std::size_t operations = 12; // Of two votes.
    for (const auto& torn : torn_cases) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            for (std::size_t first = 1; first <= operations; ++first) {
                for (std::size_t second = 1; second <= operations; ++second) {
                    CAPTURE(torn.name);
                    CAPTURE(seed);
                    CAPTURE(first);
                    CAPTURE(second);
                    std::mt19937 random{seed};
                    simulated_disk disk;
                    {
                        auto created = open_simulated(disk);
                        REQUIRE(created.ok());
                        REQUIRE(create_cluster(*created, 9).ok());
                    }
                    std::uint64_t term = 1;
                    for (const auto operation : {first, second}) {
                        auto opened = open_simulated(disk);
                        INFO(opened.status().ToString());
                        REQUIRE(opened.ok());
                        storage_user user{*opened};
                        disk.set_fault(disk_fault::power_lost_after, operation);
                        while (user.vote(++term)) {
                        }
                        disk.restart(random, std::span{&torn.extent, 1});
                        const auto found = open_simulated(disk);
                        INFO(found.status().ToString());
                        REQUIRE(found.ok());
                        CHECK(holds(*found, user.confirmed()));
                    }
                }
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::control
