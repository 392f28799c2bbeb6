#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/log_recovery.hpp"
#include "hawthornstall/control/record_format.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <cstddef>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

constexpr std::uint64_t saved_term = 3;
/// What a member has confirmed at most when nothing tells its synced position.
constexpr log_position unknown{saved_term, std::numeric_limits<std::uint64_t>::max()};

std::string record_of(const log_position& position) {
    std::string bytes;
    append_record(bytes, wire::encode(log_entry{position, make_edit("edit", position.index)}));
    return bytes;
}

/// Records of term 1 with these indexes.
std::string records(const std::vector<std::uint64_t>& indexes) {
    std::string bytes;
    for (const auto index : indexes) {
        bytes += record_of({1, index});
    }
    return bytes;
}

std::string snapshot_at(const log_position& position) {
    std::string bytes;
    append_record(bytes,
                  wire::encode(log_snapshot{.position = position, .members = {}, .state = {}}));
    return bytes;
}

std::string flipped(std::string bytes, std::size_t offset) {
    bytes.at(offset) = static_cast<char>(bytes.at(offset) ^ 1);
    return bytes;
}

/// Flips a byte in the payload of the record that follows `earlier`.
std::string flipped_after(const std::string& earlier, std::string bytes) {
    constexpr std::size_t in_payload = 20;
    return flipped(std::move(bytes), earlier.size() + in_payload);
}

std::string without_end(std::string bytes, std::size_t count = 9) {
    bytes.resize(bytes.size() - count);
    return bytes;
}

std::string noise() {
    return std::string(700, '\x37');
}

struct expected_log {
    log_position last;
    log_position acknowledged;
    bool is_damaged;
    bool matches_file;
    std::uint64_t valid_bytes;
    std::string_view problem; ///< Part of it; empty when there is none.
};

struct recovery_case {
    std::string_view name;
    std::optional<std::string> snapshot;
    std::optional<std::string> log;
    std::optional<log_position> synced;
    expected_log expected;
};

constexpr std::string_view incomplete = "a log record is incomplete or damaged";
constexpr std::string_view out_of_place = "a log record is out of place";
constexpr std::string_view gap = "entries are missing between the snapshot and the log";
constexpr std::string_view lost = "entries that were synced are missing";

void check_log(const recovered_log& found, const expected_log& expected) {
    CHECK(found.last() == expected.last);
    CHECK(found.acknowledged == expected.acknowledged);
    CHECK(found.matches_file == expected.matches_file);
    CHECK(found.valid_bytes == expected.valid_bytes);
    CHECK(found.record_offsets.size() == found.entries.size());
}

void check_damage(const recovered_log& found, const expected_log& expected) {
    CHECK(found.is_damaged() == expected.is_damaged);
    CHECK(found.problem.empty() == expected.problem.empty());
    CHECK(found.problem.find(expected.problem) != std::string::npos);
    CHECK((found.problem.find(lost) != std::string::npos) == expected.is_damaged);
}

void check_recovery(const std::vector<recovery_case>& cases) {
    for (const auto& row : cases) {
        CAPTURE(row.name);
        const auto found = recover_log(
            {.snapshot = row.snapshot, .log = row.log, .synced = row.synced, .term = saved_term});
        INFO(found.problem);
        check_log(found, row.expected);
        check_damage(found, row.expected);
    }
}

// Guards against a torn write after the synced position that counts as damage, and against a loss
// before it that is not reported.
TEST_CASE("the synced position tells whether a log that is not whole is damaged") {
    const auto base = snapshot_at({1, 1});
    const auto whole = records({2, 3, 4, 5});
    const auto two = records({2, 3});
    const auto three = records({2, 3, 4});
    const auto torn = without_end(whole);
    const auto altered = flipped_after(two, whole);
    const auto repeated = whole + records({3});
    const auto gapped = records({2, 3, 5});
    const auto size = whole.size();
    const log_position end{1, 5};
    check_recovery({
        {"whole, position known", base, whole, end, {end, end, false, true, size, ""}},
        {"whole, unknown", base, whole, {}, {end, end, false, true, size, ""}},
        {"whole, behind", base, whole, {{1, 3}}, {end, {1, 3}, false, true, size, ""}},
        {"whole, of a later term", base, whole, {{2, 2}}, {end, {2, 2}, true, true, size, lost}},
        {"empty, known", base, "", {{1, 1}}, {{1, 1}, {1, 1}, false, true, 0, ""}},
        {"empty, unknown", base, "", {}, {{1, 1}, {1, 1}, false, true, 0, ""}},
        {"empty, lost", base, "", end, {{1, 1}, end, true, true, 0, lost}},
        {"torn, known", base, torn, end, {{1, 4}, end, true, true, three.size(), incomplete}},
        {"torn, unknown", base, torn, {}, {{1, 4}, {1, 4}, false, true, three.size(), incomplete}},
        {"torn, behind",
         base,
         torn,
         {{1, 4}},
         {{1, 4}, {1, 4}, false, true, three.size(), incomplete}},
        {"flipped, known", base, altered, end, {{1, 3}, end, true, true, two.size(), incomplete}},
        {"flipped, unknown",
         base,
         altered,
         {},
         {{1, 3}, unknown, true, true, two.size(), incomplete}},
        {"flipped, behind",
         base,
         altered,
         {{1, 3}},
         {{1, 3}, {1, 3}, false, true, two.size(), incomplete}},
        {"noise after the end, known",
         base,
         whole + noise(),
         end,
         {end, end, false, true, size, incomplete}},
        {"noise after the end, unknown",
         base,
         whole + noise(),
         {},
         {end, unknown, true, true, size, incomplete}},
        {"zeros after the end, known",
         base,
         whole + std::string(700, '\0'),
         end,
         {end, end, false, true, size, incomplete}},
        {"zeros after the end, unknown",
         base,
         whole + std::string(700, '\0'),
         {},
         {end, end, false, true, size, incomplete}},
        {"a copy of an earlier record after the end, known",
         base,
         repeated,
         end,
         {end, end, false, true, size, out_of_place}},
        {"a copy of an earlier record, then noise, known",
         base,
         repeated + noise(),
         end,
         {end, end, false, true, size, out_of_place}},
        {"noise with a copy of an earlier record, known",
         base,
         whole + noise() + two,
         end,
         {end, end, false, true, size, incomplete}},
        {"a copy of an earlier record after the end, unknown",
         base,
         repeated,
         {},
         {end, unknown, true, true, size, out_of_place}},
        {"a gap, known", base, gapped, end, {{1, 3}, end, true, true, two.size(), out_of_place}},
        {"a gap, unknown",
         base,
         gapped,
         {},
         {{1, 3}, unknown, true, true, two.size(), out_of_place}},
        {"a gap, behind",
         base,
         gapped,
         {{1, 3}},
         {{1, 3}, {1, 3}, false, true, two.size(), out_of_place}},
        // The log may have gone on after a synced position.
        {"missing, known",
         base,
         {},
         end,
         {{1, 1}, unknown, true, false, 0, "the log file is missing"}},
        {"missing, unknown",
         base,
         {},
         {},
         {{1, 1}, unknown, true, false, 0, "the log file is missing"}},
        {"missing, behind",
         base,
         {},
         {{1, 1}},
         {{1, 1}, unknown, true, false, 0, "the log file is missing"}},
    });
}

// Guards against entries that are taken without the snapshot that they follow, or after one of
// another history, and against a loss of entries that the snapshot covers being reported.
TEST_CASE("entries count only after a snapshot that they continue") {
    const auto whole = records({2, 3, 4, 5});
    const auto one = records({2});
    const auto two = records({2, 3});
    const auto three = records({2, 3, 4});
    const auto size = whole.size();
    const log_position end{1, 5};
    const auto inside = snapshot_at({1, 3});
    const auto other = snapshot_at({2, 3});
    const auto broken = flipped_after("", snapshot_at({1, 1}));
    const std::string_view no_snapshot = "the snapshot file is missing";
    const std::string_view bad_snapshot = "the snapshot file is damaged";
    check_recovery({
        {"snapshot missing, known", {}, whole, end, {{}, end, true, false, 0, no_snapshot}},
        {"snapshot missing, unknown", {}, whole, {}, {{}, unknown, true, false, 0, no_snapshot}},
        {"snapshot and log missing, known",
         {},
         {},
         end,
         {{}, unknown, true, false, 0, no_snapshot}},
        {"snapshot damaged, known", broken, whole, end, {{}, end, true, false, 0, bad_snapshot}},
        {"snapshot damaged, unknown",
         broken,
         whole,
         {},
         {{}, unknown, true, false, 0, bad_snapshot}},
        {"snapshot empty, known", "", whole, end, {{}, end, true, false, 0, bad_snapshot}},
        {"gap after the snapshot, known",
         snapshot_at({1, 1}),
         records({4, 5}),
         end,
         {{1, 1}, end, true, false, 0, gap}},
        {"gap after the snapshot, unknown",
         snapshot_at({1, 1}),
         records({4, 5}),
         {},
         {{1, 1}, unknown, true, false, 0, gap}},
        {"snapshot inside the log, known", inside, whole, end, {end, end, false, false, size, ""}},
        {"snapshot inside the log, unknown", inside, whole, {}, {end, end, false, false, size, ""}},
        {"snapshot after the log, known",
         snapshot_at({1, 9}),
         whole,
         end,
         {{1, 9}, end, false, false, size, ""}},
        {"snapshot after the log, unknown",
         snapshot_at({1, 9}),
         whole,
         {},
         {{1, 9}, {1, 9}, false, false, size, ""}},
        {"first covered entry flipped, known",
         inside,
         flipped_after("", whole),
         end,
         {{1, 3}, end, true, true, 0, incomplete}},
        {"covered entry flipped, known",
         inside,
         flipped_after(one, whole),
         end,
         {{1, 3}, end, true, false, one.size(), incomplete}},
        {"covered entry flipped, unknown",
         inside,
         flipped_after(one, whole),
         {},
         {{1, 3}, unknown, true, false, one.size(), incomplete}},
        {"covered entry flipped, all covered",
         inside,
         flipped_after(one, two),
         {{1, 3}},
         {{1, 3}, {1, 3}, false, false, one.size(), incomplete}},
        {"entry after the snapshot flipped, known",
         inside,
         flipped_after(three, whole),
         end,
         {{1, 4}, end, true, false, three.size(), incomplete}},
        {"entry after the snapshot flipped, behind",
         inside,
         flipped_after(three, whole),
         {{1, 4}},
         {{1, 4}, {1, 4}, false, false, three.size(), incomplete}},
        {"snapshot of another history, known",
         other,
         whole,
         end,
         {{2, 3}, end, false, false, size, ""}},
        {"snapshot of another history, unknown",
         other,
         whole,
         {},
         {{2, 3}, {2, 3}, false, false, size, ""}},
        {"snapshot of another history, later position",
         other,
         whole,
         {{2, 4}},
         {{2, 3}, {2, 4}, true, false, size, lost}},
    });
}

} // namespace
} // namespace hawthornstall::control
