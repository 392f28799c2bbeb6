#include "hawthornstall/control/storage_user.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <random>
#include <span>
#include <string>
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

/// Makes a new member one of a cluster.
bool join_cluster(simulated_storage& storage) {
    auto state = storage.state();
    state.cluster_id = 9;
    state.term = 1;
    return storage.save_state(state).ok();
}

struct start_case {
    std::string_view name;
    bool (*start)(simulated_storage&);
};

constexpr std::array start_cases{
    start_case{"a member that creates the cluster",
               [](simulated_storage& storage) {
                   return create_cluster(storage, 9).ok();
               }},
    start_case{"a member that joins the cluster with an empty log", join_cluster},
};

/// Checks that `disk` holds a whole folder with all that was confirmed.
void check_found(simulated_disk& disk, const confirmed_state& confirmed) {
    const auto found = open_simulated(disk);
    INFO(found.status().ToString());
    CHECK(found.ok());
    if (!found.ok()) {
        return;
    }
    CHECK(found->state().self.storage_id == sample_storage_id);
    CHECK(holds(*found, confirmed));
    CHECK_FALSE(found->has_lost_entries());
}

/// Loses the power at each operation of `work` in turn, and checks what is found afterwards.
void check_power_loss(const start_case& start, const work_case& work, write_extent extent,
                      unsigned seed) {
    bool completed = false;
    for (std::size_t operation = 1; !completed; ++operation) {
        CAPTURE(operation);
        std::mt19937 random{seed};
        simulated_disk disk;
        auto first = open_simulated(disk);
        REQUIRE(first.ok());
        REQUIRE(start.start(*first));
        storage_user user{*first};
        disk.set_fault(disk_fault::power_lost_after, operation);
        completed = work.work(user);
        disk.restart(random, std::span{&extent, 1});
        check_found(disk, user.confirmed());
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
                check_power_loss(start_cases.front(), work, torn.extent, seed);
            }
        }
    }
}

// Guards against the same for a member that has joined with an empty log and has not synced an
// entry yet: its folder holds no synced position.
TEST_CASE("a torn write of the first entries of a member is not taken for damage") {
    const std::array first_entries{
        work_case{"entries",
                  [](storage_user& user) {
                      return user.append(1, 1, 1) && user.append(1, 3, 1);
                  }},
        work_case{"entries of several pages",
                  [](storage_user& user) {
                      return user.append_large(1, 1, 1) && user.append_large(1, 3, 1);
                  }},
        work_case{"a snapshot",
                  [](storage_user& user) {
                      return user.install(1, 6) && user.append(1, 7, 1);
                  }},
    };
    for (const auto& torn : torn_cases) {
        for (const auto& work : first_entries) {
            for (unsigned seed = 0; seed < seeds; ++seed) {
                CAPTURE(torn.name);
                CAPTURE(work.name);
                CAPTURE(seed);
                check_power_loss(start_cases.back(), work, torn.extent, seed);
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

/// A random number in [first, last].
std::uint64_t draw(std::mt19937& random, std::uint64_t first, std::uint64_t last) {
    return std::uniform_int_distribution<std::uint64_t>{first, last}(random);
}

/// Does something at random that a member does. False at the first failed call.
bool random_step(storage_user& user, const simulated_storage& storage, std::mt19937& random) {
    const auto& log = storage.log();
    const auto base = log.base();
    const auto last = log.last();
    const auto term = storage.state().term;
    const bool has_entries = last.index > base.index;
    switch (draw(random, 0, 6)) {
    case 0:
        return user.vote(term + 1);
    case 1:
        return user.append_large(term, last.index + 1, 1);
    case 2:
        return !has_entries || (user.vote(term + 1) &&
                                user.append(term + 1, draw(random, base.index + 1, last.index), 1));
    case 3: {
        const auto index = draw(random, base.index, last.index);
        return index == base.index || user.install(*log.term_at(index), index);
    }
    case 4:
        return draw(random, 0, 3) > 0 || user.install(term, last.index + 3);
    default:
        return user.append(term, last.index + 1, draw(random, 1, 2));
    }
}

/// Loses power at a random operation, or ends the process, and starts the machine again.
void use_until_loss(simulated_disk& disk, storage_user& user, const simulated_storage& storage,
                    std::mt19937& random) {
    constexpr int steps = 12;
    constexpr std::array faults{disk_fault::none, disk_fault::power_lost_before,
                                disk_fault::power_lost_after, disk_fault::power_lost_after,
                                disk_fault::power_lost_unsynced};
    disk.set_fault(faults[draw(random, 0, faults.size() - 1)], draw(random, 1, 30));
    for (int step = 0; step < steps && random_step(user, storage, random); ++step) {
    }
    disk.restart(random);
    // Some starts lose power as well.
    if (draw(random, 0, 2) == 0) {
        disk.set_fault(disk_fault::power_lost_after, draw(random, 1, 14));
        open_simulated(disk).status().IgnoreError();
        disk.restart(random);
    }
}

/// Opens the folder several times, each time after a loss of power, and ends at the first problem.
void check_losses_in_a_row(const start_case& start, unsigned seed) {
    constexpr int losses = 8;
    std::mt19937 random{seed};
    simulated_disk disk;
    auto storage = open_simulated(disk);
    REQUIRE(storage.ok());
    REQUIRE(start.start(*storage));
    for (int loss = 0; loss < losses && storage.ok(); ++loss) {
        CAPTURE(loss);
        storage_user user{*storage};
        use_until_loss(disk, user, *storage, random);
        check_found(disk, user.confirmed());
        storage = open_simulated(disk);
    }
}

// Guards against what one loss of power leaves, and what the start after it repairs, being lost or
// taken for damage after the next one.
TEST_CASE("losses of power in a row lose nothing confirmed and are not taken for damage") {
    constexpr unsigned runs = 300;
    for (const auto& start : start_cases) {
        for (unsigned seed = 0; seed < runs; ++seed) {
            CAPTURE(start.name);
            CAPTURE(seed);
            check_losses_in_a_row(start, seed);
        }
    }
}

void flip_byte(simulated_disk& disk, std::string_view name, std::mt19937& random) {
    const auto file = disk.find(simulated_folder + '/' + std::string{name});
    REQUIRE(file != nullptr);
    REQUIRE_FALSE(file->content.empty());
    auto& byte = file->content[draw(random, 0, file->content.size() - 1)];
    byte = static_cast<char>(byte ^ (1 << draw(random, 0, 7)));
    disk.sync(file);
}

void remove_file(simulated_disk& disk, std::string_view name) {
    disk.set_name(simulated_folder + '/' + std::string{name}, nullptr);
    disk.sync_names();
}

struct damage_case {
    std::string_view name;
    bool loses_position; ///< Nothing tells afterwards up to where the log went.
    void (*damage)(simulated_disk&, std::mt19937&);
};

constexpr std::array damage_cases{
    damage_case{"a flipped bit of the log", false,
                [](simulated_disk& disk, std::mt19937& random) {
                    flip_byte(disk, "log", random);
                }},
    damage_case{"a flipped bit of the snapshot", false,
                [](simulated_disk& disk, std::mt19937& random) {
                    flip_byte(disk, "snapshot", random);
                }},
    damage_case{"a missing log", true,
                [](simulated_disk& disk, std::mt19937& /*random*/) {
                    remove_file(disk, "log");
                }},
    damage_case{"a flipped bit of the log and no synced position", true,
                [](simulated_disk& disk, std::mt19937& random) {
                    flip_byte(disk, "log", random);
                    remove_file(disk, "synced");
                }},
    damage_case{"a flipped bit of the snapshot and no synced position", true,
                [](simulated_disk& disk, std::mt19937& random) {
                    flip_byte(disk, "snapshot", random);
                    remove_file(disk, "synced");
                }},
};

/// What a member had before the damage.
struct whole_state {
    hard_state state{};
    log_position last{}; ///< After all entries of the member's terms when its position is lost.
};

/// Works on a new folder until a loss of power.
void work_until_loss(simulated_disk& disk, unsigned seed, std::mt19937& random) {
    auto storage = open_simulated(disk);
    REQUIRE((storage.ok() && create_cluster(*storage, 9).ok()));
    storage_user user{*storage};
    REQUIRE((user.append(1, 2, 2) && (seed % 2 == 0 || user.install(1, 3)) && user.vote(2)));
    disk.set_fault(disk_fault::power_lost_after, 1 + seed / 2 % 3);
    CHECK_FALSE((user.append(2, 6, 1) && user.append(2, 8, 1)));
    disk.restart(random);
}

/// Damages a folder after a loss of power and a start without a fault.
whole_state make_damaged(simulated_disk& disk, const damage_case& damage, unsigned seed,
                         std::mt19937& random) {
    work_until_loss(disk, seed, random);
    const auto storage = open_simulated(disk);
    REQUIRE((storage.ok() && !storage->has_lost_entries()));
    damage.damage(disk, random);
    const log_position unknown{storage->state().term, std::numeric_limits<std::uint64_t>::max()};
    return {.state = storage->state(),
            .last = damage.loses_position ? unknown : storage->log().last()};
}

/// Opens the folder and checks that it reports the loss, and has kept the vote.
void check_reported(simulated_disk& disk, const whole_state& whole) {
    const auto found = open_simulated(disk);
    INFO(found.status().ToString());
    REQUIRE(found.ok());
    CHECK(found->has_lost_entries());
    CHECK(found->acknowledged() == whole.last);
    CHECK(found->state() == whole.state);
}

void lose_power(simulated_disk& disk, std::mt19937& random) {
    disk.set_fault(disk_fault::power_lost_before, 1);
    CHECK_FALSE(open_simulated(disk).ok());
    disk.restart(random);
}

struct repair_fault {
    std::string_view name;
    disk_fault fault;
    unsigned seeds;
};

constexpr std::array repair_faults{
    repair_fault{"the operation fails", disk_fault::fails, 12},
    repair_fault{"the operation fails halfway", disk_fault::fails_halfway, 12},
    repair_fault{"power is lost before it", disk_fault::power_lost_before, 24},
    repair_fault{"power is lost after it", disk_fault::power_lost_after, 24},
    repair_fault{"power and all that is not synced are lost", disk_fault::power_lost_unsynced, 12},
};

// Guards against a repair of a damaged folder that, interrupted, hides the loss: the member would
// vote as if it had never confirmed the lost entries.
TEST_CASE("a fault at any operation of a repair does not hide the loss") {
    for (const auto& damage : damage_cases) {
        for (const auto& fault : repair_faults) {
            for (unsigned seed = 0; seed < fault.seeds; ++seed) {
                bool is_reached = true;
                for (std::size_t operation = 1; is_reached; ++operation) {
                    CAPTURE(damage.name);
                    CAPTURE(fault.name);
                    CAPTURE(seed);
                    CAPTURE(operation);
                    std::mt19937 random{seed};
                    simulated_disk disk;
                    const auto whole = make_damaged(disk, damage, seed, random);
                    disk.set_fault(fault.fault, operation);
                    open_simulated(disk).status().IgnoreError();
                    is_reached = disk.operations() >= operation;
                    disk.restart(random);
                    check_reported(disk, whole);
                    check_reported(disk, whole);
                    lose_power(disk, random);
                    check_reported(disk, whole);
                }
            }
        }
    }
}

/// Appends the entries of the whole log that are missing, one by one.
bool append_missing(storage_user& user, const simulated_storage& storage,
                    const whole_state& whole) {
    while (storage.log().last() < whole.last) {
        const auto index = storage.log().last().index + 1;
        const std::uint64_t term = index < 6 ? 1 : 2;
        CHECK(storage.has_lost_entries());
        if (!user.append_one(make_entry(term, index))) {
            return false;
        }
        CHECK(storage.acknowledged() == whole.last);
    }
    return true;
}

struct refill_case {
    std::string_view name;
    bool needs_position; ///< Ends at a known position.
    /// Brings the log to the position that was acknowledged. False at the first failed call.
    bool (*refill)(storage_user&, const simulated_storage&, const whole_state&);
};

constexpr std::array refill_cases{
    refill_case{"the missing entries", true, append_missing},
    refill_case{
        "entries of a later term that replace the last one", false,
        [](storage_user& user, const simulated_storage& storage, const whole_state& /*whole*/) {
            const auto& log = storage.log();
            const auto first = std::max(log.base().index + 1, log.last().index);
            return user.append_one(make_entry(3, first)) &&
                   user.append_one(make_entry(3, first + 1));
        }},
    refill_case{"a snapshot before the acknowledged position, then the missing entries", true,
                [](storage_user& user, const simulated_storage& storage, const whole_state& whole) {
                    return user.install(1, 4) && append_missing(user, storage, whole);
                }},
    refill_case{
        "a snapshot after the acknowledged position, then an entry", true,
        [](storage_user& user, const simulated_storage& /*storage*/, const whole_state& /*whole*/) {
            return user.install(2, 9) && user.append_one(make_entry(2, 10));
        }},
};

/// Checks what is found after a loss of power during a refill, or after a complete one.
void check_refilled(simulated_disk& disk, const whole_state& whole,
                    const confirmed_state& confirmed, bool completed) {
    const auto found = open_simulated(disk);
    REQUIRE(found.ok());
    const auto last = found->log().last();
    CHECK((found->state() == whole.state && holds(*found, confirmed)));
    CHECK(found->has_lost_entries() == (last < whole.last));
    CHECK(found->acknowledged() == std::max(last, whole.last));
    CHECK((!completed || !found->has_lost_entries()));
}

/// Loses power at `operation` of the refill. Returns whether the refill has reached it.
bool check_refill(const damage_case& damage, const refill_case& refill, unsigned seed,
                  std::size_t operation) {
    constexpr int restarts = 3;
    std::mt19937 random{seed};
    simulated_disk disk;
    const auto whole = make_damaged(disk, damage, seed, random);
    auto storage = open_simulated(disk);
    REQUIRE((storage.ok() && storage->has_lost_entries()));
    storage_user user{*storage};
    disk.set_fault(disk_fault::power_lost_after, operation);
    const bool completed = refill.refill(user, *storage, whole);
    CHECK((!completed || !storage->has_lost_entries()));
    disk.restart(random);
    for (int restart = 0; restart < restarts; ++restart) {
        CAPTURE(restart);
        check_refilled(disk, whole, user.confirmed(), completed);
        lose_power(disk, random);
    }
    return !completed;
}

// Guards against a loss that is no longer reported before the log has reached the acknowledged
// position again, and against one that is reported for ever.
TEST_CASE("a loss is reported until the synced log reaches the acknowledged position") {
    constexpr unsigned refill_seeds = 24;
    for (const auto& damage : damage_cases) {
        for (const auto& refill : refill_cases) {
            if (damage.loses_position && refill.needs_position) {
                continue;
            }
            for (unsigned seed = 0; seed < refill_seeds; ++seed) {
                bool is_reached = true;
                for (std::size_t operation = 1; is_reached; ++operation) {
                    CAPTURE(damage.name);
                    CAPTURE(refill.name);
                    CAPTURE(seed);
                    CAPTURE(operation);
                    is_reached = check_refill(damage, refill, seed, operation);
                }
            }
        }
    }
}

/// Loses power at the operation `operation` of a member that votes again and again.
void lose_power_while_voting(simulated_disk& disk, std::size_t operation, write_extent extent,
                             std::mt19937& random) {
    auto opened = open_simulated(disk);
    REQUIRE(opened.ok());
    storage_user user{*opened};
    disk.set_fault(disk_fault::power_lost_after, operation);
    while (user.vote(opened->state().term + 1)) {
    }
    disk.restart(random, std::span{&extent, 1});
    const auto found = open_simulated(disk);
    INFO(found.status().ToString());
    REQUIRE(found.ok());
    CHECK(holds(*found, user.confirmed()));
}

// Guards against a second loss of power before the folder has been synced again. The first one may
// have kept the new name of the state file and the temporary one too, so that both name the same
// file. A damaged state file is a lost vote.
TEST_CASE("a second loss of power while the state is replaced is not taken for damage") {
    constexpr std::size_t operations = 14; // Of two votes.
    for (const auto& torn : torn_cases) {
        for (unsigned seed = 0; seed < seeds; ++seed) {
            for (std::size_t loss = 0; loss < operations * operations; ++loss) {
                CAPTURE(torn.name);
                CAPTURE(seed);
                CAPTURE(loss);
                std::mt19937 random{seed};
                simulated_disk disk;
                auto created = open_simulated(disk);
                REQUIRE((created.ok() && create_cluster(*created, 9).ok()));
                lose_power_while_voting(disk, loss / operations + 1, torn.extent, random);
                lose_power_while_voting(disk, loss % operations + 1, torn.extent, random);
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::control
