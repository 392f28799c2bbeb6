#include "hawthornstall/control/consensus_node.hpp"
#include "hawthornstall/control/file_storage.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/control/scratch_folder.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <functional>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

constexpr std::uint64_t storage_id = 7;

absl::StatusOr<file_storage> reopen(const std::string& folder) {
    return file_storage::open(folder, "control-1", storage_id + 1);
}

std::vector<log_entry> make_entries(std::uint64_t first, std::uint64_t count, std::uint64_t term) {
    std::vector<log_entry> entries;
    for (auto index = first; index < first + count; ++index) {
        auto& entry = entries.emplace_back();
        entry.position = {term, index};
        entry.payload = make_edit("edit-" + std::to_string(index), index);
    }
    return entries;
}

void append_synced(file_storage& storage, const std::vector<log_entry>& entries) {
    REQUIRE(storage.append(entries).ok());
    REQUIRE(storage.sync().ok());
}

/// Writes a snapshot at index 1 and synced entries 2 to 5.
void write_sample_log(const std::string& folder) {
    auto storage = file_storage::open(folder, "control-1", storage_id);
    REQUIRE(storage.ok());
    REQUIRE(create_cluster(*storage, 9).ok());
    append_synced(*storage, make_entries(2, 4, 1));
}

struct written_case {
    std::string_view name;
    std::function<void(file_storage&)> write;
    log_position base;
    log_position last;
};

// Guards against entries, votes or snapshots that a restart loses or mixes up.
TEST_CASE("a restart finds what was synced") {
    const auto snapshot_at = [](std::uint64_t term, std::uint64_t index) {
        log_snapshot snapshot;
        snapshot.position = {term, index};
        snapshot.state.revision = index;
        return snapshot;
    };
    const std::array cases{
        written_case{"nothing more", [](auto&) {}, {1, 1}, {1, 5}},
        written_case{"hundreds of changes",
                     [](auto& s) {
                         for (std::uint64_t index = 6; index <= 505; ++index) {
                             append_synced(s, make_entries(index, 1, 1));
                         }
                     },
                     {1, 1},
                     {1, 505}},
        written_case{"a conflicting suffix",
                     [](auto& s) { append_synced(s, make_entries(4, 1, 2)); },
                     {1, 1},
                     {2, 4}},
        written_case{"compaction",
                     [&](auto& s) { REQUIRE(s.install(snapshot_at(1, 3)).ok()); },
                     {1, 3},
                     {1, 5}},
        written_case{"compaction, then more entries",
                     [&](auto& s) {
                         REQUIRE(s.install(snapshot_at(1, 3)).ok());
                         append_synced(s, make_entries(6, 2, 1));
                     },
                     {1, 3},
                     {1, 7}},
        written_case{"a snapshot beyond the log",
                     [&](auto& s) { REQUIRE(s.install(snapshot_at(2, 9)).ok()); },
                     {2, 9},
                     {2, 9}},
        written_case{"a snapshot of another history",
                     [&](auto& s) { REQUIRE(s.install(snapshot_at(2, 3)).ok()); },
                     {2, 3},
                     {2, 3}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const scratch_folder folder;
        write_sample_log(folder.path());
        std::vector<log_entry> entries;
        {
            auto storage = reopen(folder.path());
            REQUIRE(storage.ok());
            test.write(*storage);
            const auto kept = storage->log().entries_from(test.base.index + 1);
            entries.assign(kept.begin(), kept.end());
            auto state = storage->state();
            state.term = 12;
            state.voted_for = member_id{"control-2", 3};
            REQUIRE(storage->save_state(state).ok());
        }
        const auto storage = reopen(folder.path());
        REQUIRE(storage.ok());
        CHECK(storage->state().self == member_id{"control-1", storage_id});
        CHECK(storage->state().term == 12);
        CHECK(storage->state().voted_for == member_id{"control-2", 3});
        CHECK(storage->log().base() == test.base);
        CHECK(storage->log().last() == test.last);
        CHECK(std::ranges::equal(storage->log().entries_from(test.base.index + 1), entries));
        const auto snapshot = storage->load_snapshot();
        REQUIRE(snapshot.ok());
        CHECK(snapshot->position == test.base);
    }
}

/// Whether the folder tells up to which position its log was synced. Folders of earlier versions do
/// not, and neither does one whose position had not reached the disk.
struct position_case {
    std::string_view name;
    bool is_known;
};

constexpr std::array position_cases{
    position_case{"synced position known", true},
    position_case{"synced position unknown", false},
};

/// Writes the sample log, for which `position` holds.
void write_sample_log(const std::string& folder, const position_case& position) {
    write_sample_log(folder);
    if (!position.is_known) {
        std::filesystem::remove(folder + "/synced");
    }
}

constexpr log_position sample_last{.term = 1, .index = 5};

/// Checks that the storage has lost entries, and keeps its identity, term and vote and the position
/// that it may have confirmed.
void check_reported_loss(const file_storage& storage, bool is_end_known) {
    CHECK(storage.state() == hard_state{{"control-1", storage_id}, 9, 1, {}});
    CHECK(storage.has_lost_entries());
    CHECK_FALSE(storage.problem().empty());
    CHECK(storage.acknowledged() >= sample_last);
    CHECK((storage.acknowledged() == sample_last) == is_end_known);
}

// Guards against a log that cannot be read or extended after a crash during the write of a record.
TEST_CASE("a log truncated anywhere keeps its complete records") {
    for (const auto& position : position_cases) {
        CAPTURE(position.name);
        const scratch_folder folder;
        write_sample_log(folder.path(), position);
        const auto log = folder.path() + "/log";
        const auto whole = read_all(log);
        const auto synced = read_all(folder.path() + "/synced");
        const auto record_bytes = whole.size() / 4;
        REQUIRE(whole.size() % 4 == 0);
        for (std::size_t length = 0; length <= whole.size(); ++length) {
            CAPTURE(length);
            write_all(log, std::string_view{whole}.substr(0, length));
            write_all(folder.path() + "/synced", synced);
            auto storage = reopen(folder.path());
            REQUIRE(storage.ok());
            const auto last = 1 + length / record_bytes;
            CHECK(storage->log().last().index == last);
            // Only the synced position tells that a record was there.
            CHECK(storage->has_lost_entries() == (position.is_known && length < whole.size()));
            append_synced(*storage, make_entries(last + 1, 1, 1));
            storage = absl::UnknownError("closed");
            CHECK(reopen(folder.path())->log().last().index == last + 1);
        }
    }
}

// Guards against damage that is mistaken for a torn tail, which would drop acknowledged entries.
TEST_CASE("a flipped byte anywhere is reported as damage") {
    for (const auto& position : position_cases) {
        for (const std::string_view name : {"log", "state", "snapshot"}) {
            const scratch_folder folder;
            write_sample_log(folder.path(), position);
            const auto path = folder.path() + '/' + std::string{name};
            const auto synced = read_all(folder.path() + "/synced");
            const auto snapshot = read_all(folder.path() + "/snapshot");
            const auto log = read_all(folder.path() + "/log");
            const auto whole = read_all(path);
            for (std::size_t offset = 0; offset < whole.size(); ++offset) {
                for (const char flip : {'\x01', '\x80', whole[offset]}) {
                    CAPTURE(position.name);
                    CAPTURE(name);
                    CAPTURE(offset);
                    auto bytes = whole;
                    bytes[offset] = static_cast<char>(bytes[offset] ^ flip);
                    if (bytes == whole) {
                        continue;
                    }
                    write_all(folder.path() + "/synced", synced);
                    write_all(folder.path() + "/snapshot", snapshot);
                    write_all(folder.path() + "/log", log);
                    write_all(path, bytes);
                    const auto storage = reopen(folder.path());
                    if (name == "state") {
                        CHECK(storage.status().code() == absl::StatusCode::kDataLoss);
                        continue;
                    }
                    REQUIRE(storage.ok());
                    check_reported_loss(*storage, position.is_known);
                }
            }
        }
    }
}

/// What a host finds when it opens a folder.
enum class finding : std::uint8_t {
    lost_vote, ///< The folder cannot be opened.
    lost_entries,
    nothing_lost,
};

struct damage_case {
    std::string_view name;
    std::function<void(const std::string&)> damage;
    std::array<finding, 2> found; ///< For each of `position_cases`.
    std::uint64_t last;           ///< Index of the last entry when the folder can be opened.
};

// Guards against a damaged folder that counts as whole, and against a folder that counts as damaged
// after an interrupted write.
TEST_CASE("damage is distinguished from interrupted writes") {
    using enum finding;
    const auto remove = [](std::string_view name) {
        return [name](const std::string& folder) {
            std::filesystem::remove(folder + '/' + std::string{name});
        };
    };
    const std::array cases{
        damage_case{"log is missing", remove("log"), {lost_entries, lost_entries}, 1},
        damage_case{"state is missing", remove("state"), {lost_vote, lost_vote}, 0},
        damage_case{"snapshot is missing", remove("snapshot"), {lost_entries, lost_entries}, 0},
        damage_case{"first record is missing",
                    [](auto& folder) {
                        const auto log = read_all(folder + "/log");
                        write_all(folder + "/log", log.substr(log.size() / 4));
                    },
                    {lost_entries, lost_entries},
                    1},
        // Every synced entry is there, so that only what follows them is not in its place. A torn
        // write can leave such bytes.
        damage_case{"a record is repeated",
                    [](auto& folder) {
                        const auto log = read_all(folder + "/log");
                        write_all(folder + "/log", log + log.substr(log.size() / 4 * 3));
                    },
                    {nothing_lost, lost_entries},
                    5},
        damage_case{"zeros follow the last record",
                    [](auto& folder) {
                        const auto log = read_all(folder + "/log");
                        write_all(folder + "/log", log + std::string(100, '\0'));
                    },
                    {nothing_lost, nothing_lost},
                    5},
        damage_case{"last sector of the last record was not written",
                    [](auto& folder) {
                        auto log = read_all(folder + "/log");
                        const auto sector = (log.size() - 1) / 512 * 512;
                        REQUIRE(sector > log.size() / 4 * 3);
                        std::fill(log.begin() + static_cast<std::ptrdiff_t>(sector), log.end(),
                                  '\0');
                        write_all(folder + "/log", log);
                    },
                    {lost_entries, nothing_lost},
                    4},
        damage_case{"replacement files were left behind",
                    [](auto& folder) {
                        write_all(folder + "/log.new", "x");
                        write_all(folder + "/state.new", "x");
                    },
                    {nothing_lost, nothing_lost},
                    5},
    };
    for (const auto& test : cases) {
        for (std::size_t known = 0; known < position_cases.size(); ++known) {
            const auto& position = position_cases.at(known);
            CAPTURE(test.name);
            CAPTURE(position.name);
            const scratch_folder folder;
            write_sample_log(folder.path(), position);
            test.damage(folder.path());
            const bool has_log = std::filesystem::exists(folder.path() + "/log");
            const auto storage = reopen(folder.path());
            const auto expected = test.found.at(known);
            CHECK(storage.status().code() ==
                  (expected == lost_vote ? absl::StatusCode::kDataLoss : absl::StatusCode::kOk));
            if (!storage.ok()) {
                continue;
            }
            CHECK(storage->log().last().index == test.last);
            CHECK(storage->has_lost_entries() == (expected == lost_entries));
            if (expected == lost_entries) {
                // Without the log, nothing tells how far it went after the synced position.
                check_reported_loss(*storage, position.is_known && has_log);
            }
        }
    }
}

// Guards against a host that votes under its old identity after its folder was damaged, against a
// damaged folder that is deleted, and against a report that does not tell what is damaged.
TEST_CASE("a damaged folder is set aside and replaced under a new identity") {
    const scratch_folder parent;
    const auto open = [&](std::uint64_t new_storage_id) {
        return open_or_replace(parent.path(), "control-1", new_storage_id, core::from_count(123));
    };
    CHECK(open(storage_id)->storage.state().self == member_id{"control-1", storage_id});
    CHECK(open(storage_id + 1)->storage.state().self == member_id{"control-1", storage_id});
    write_all(parent.path() + "/config/state", "x");
    const auto replaced = open(storage_id + 2);
    REQUIRE(replaced.ok());
    CHECK(replaced->storage.state() ==
          hard_state{{"control-1", storage_id + 2}, unknown_cluster_id, 0, {}});
    CHECK(replaced->damaged_folder == parent.path() + "/config.damaged-123");
    CHECK(replaced->damage.find("/config: the state file is damaged") != std::string::npos);
    CHECK(read_all(replaced->damaged_folder + "/state") == "x");
}

struct lost_folder_case {
    std::string_view name;
    std::function<void(const std::string& parent)> lose; ///< After the folder was set aside.
};

// Guards against a host that counts as new, and so takes part in the creation of a second cluster,
// because it has forgotten that it was a member.
TEST_CASE("a host that has lost its membership never counts as new") {
    const std::array cases{
        lost_folder_case{"nothing more",
                         [](auto&) {
                         }},
        lost_folder_case{"the damaged folder is lost",
                         [](auto& parent) {
                             std::filesystem::remove_all(parent + "/config.damaged-123");
                         }},
        lost_folder_case{"the new folder is lost",
                         [](auto& parent) {
                             std::filesystem::remove_all(parent + "/config");
                         }},
        lost_folder_case{"both folders are lost",
                         [](auto& parent) {
                             std::filesystem::remove_all(parent + "/config.damaged-123");
                             std::filesystem::remove_all(parent + "/config");
                         }},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const scratch_folder parent;
        const auto open = [&](std::uint64_t new_storage_id) {
            return open_or_replace(parent.path(), "control-1", new_storage_id,
                                   core::from_count(123));
        };
        CHECK(open(storage_id)->storage.state().cluster_id == 0);
        write_all(parent.path() + "/config/state", "x");
        CHECK(open(storage_id + 1)->storage.state().cluster_id == unknown_cluster_id);
        test.lose(parent.path());
        CHECK(open(storage_id + 2)->storage.state().cluster_id == unknown_cluster_id);
    }
}

struct lagging_case {
    std::string_view name;
    std::string_view file;
    std::uint64_t acknowledged; ///< Index, of term 3.
};

// Guards against a member that votes for less than it has confirmed, because a loss of power has
// taken its latest synced positions before its files were damaged.
TEST_CASE("damage with an earlier synced position is bounded by the whole entries") {
    constexpr std::array cases{
        lagging_case{"snapshot damaged", "snapshot", 54},
        lagging_case{"log and snapshot do not fit", "log", 54},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const scratch_folder folder;
        {
            auto storage = file_storage::open(folder.path(), "control-1", storage_id);
            REQUIRE(storage.ok());
            log_snapshot snapshot;
            snapshot.position = {3, 50};
            REQUIRE(storage->install(snapshot).ok());
            REQUIRE(storage->save_state({{"control-1", storage_id}, 9, 3, {}}).ok());
        }
        const auto synced = read_all(folder.path() + "/synced");
        {
            auto storage = reopen(folder.path());
            REQUIRE(storage.ok());
            append_synced(*storage, make_entries(51, 4, 3));
        }
        write_all(folder.path() + "/synced", synced);
        if (test.file == "snapshot") {
            write_all(folder.path() + "/snapshot", "x");
        } else {
            const auto log = read_all(folder.path() + "/log");
            write_all(folder.path() + "/log", log.substr(log.size() / 4));
        }
        const auto storage = reopen(folder.path());
        REQUIRE(storage.ok());
        CHECK(storage->has_lost_entries());
        CHECK(storage->acknowledged() == log_position{3, test.acknowledged});
    }
}

// Guards against two processes, or processes configured as different hosts, that use one folder.
TEST_CASE("a folder belongs to one process and one host") {
    const scratch_folder folder;
    write_sample_log(folder.path());
    const auto other_host = file_storage::open(folder.path(), "control-2", storage_id);
    CHECK(other_host.status().code() == absl::StatusCode::kFailedPrecondition);
    const auto first = reopen(folder.path());
    CHECK(first.ok());
    CHECK(reopen(folder.path()).status().code() == absl::StatusCode::kFailedPrecondition);
}

} // namespace
} // namespace hawthornstall::control
