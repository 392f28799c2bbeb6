#pragma once

/// Work on a storage over a simulated disk, for the tests of its faults.

#include "hawthornstall/control/consensus_node.hpp"
#include "hawthornstall/control/detail/file_storage_impl.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/control/simulated_disk.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <span>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::control {

using simulated_storage = basic_file_storage<simulated_files>;

inline constexpr std::uint64_t sample_storage_id = 7;
inline const std::string simulated_folder = "/data";

inline absl::StatusOr<simulated_storage> open_simulated(simulated_disk& disk) {
    return simulated_storage::open(simulated_folder, "control-1", sample_storage_id, {&disk});
}

inline log_entry make_entry(std::uint64_t term, std::uint64_t index) {
    return {{term, index}, make_edit("edit-" + std::to_string(index), index)};
}

/// An entry that takes more than two pages of the log file.
inline log_entry make_large_entry(std::uint64_t term, std::uint64_t index) {
    constexpr std::size_t bytes = 9000;
    auto entry = make_entry(term, index);
    std::get<edit_command>(entry.payload).actor =
        std::string(bytes, static_cast<char>('a' + index % 26));
    return entry;
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
    explicit storage_user(simulated_storage& used) : storage_(&used) { confirm(); }

    [[nodiscard]] const confirmed_state& confirmed() const noexcept { return confirmed_; }

    [[nodiscard]] bool vote(std::uint64_t term) {
        auto state = storage_->state();
        state.term = term;
        state.voted_for = member_id{"control-2", term};
        return storage_->save_state(state).ok() && confirm();
    }

    /// Appends in `batches` calls, with one sync after the last.
    [[nodiscard]] bool append(std::uint64_t term, std::uint64_t first, std::uint64_t batches) {
        return append_made_by(make_entry, term, first, batches);
    }

    /// As append(), with entries that take more than two pages each.
    [[nodiscard]] bool append_large(std::uint64_t term, std::uint64_t first,
                                    std::uint64_t batches) {
        return append_made_by(make_large_entry, term, first, batches);
    }

    /// Appends one entry and syncs it.
    [[nodiscard]] bool append_one(const log_entry& entry) {
        erase_confirmed_from(entry.position.index);
        return storage_->append(std::span{&entry, 1}).ok() && storage_->sync().ok() && confirm();
    }

    [[nodiscard]] bool install(std::uint64_t term, std::uint64_t index) {
        log_snapshot snapshot;
        snapshot.position = {term, index};
        snapshot.state.revision = index;
        return storage_->install(snapshot).ok() && confirm();
    }

private:
    template <class Make>
    bool append_made_by(const Make& make, std::uint64_t term, std::uint64_t first,
                        std::uint64_t batches) {
        erase_confirmed_from(first);
        for (std::uint64_t batch = 0; batch < batches; ++batch) {
            const std::vector entries{make(term, first + 2 * batch),
                                      make(term, first + 2 * batch + 1)};
            if (!storage_->append(entries).ok()) {
                return false;
            }
        }
        return storage_->sync().ok() && confirm();
    }

    /// A leader's entry that replaces another was never confirmed by a majority.
    void erase_confirmed_from(std::uint64_t first) {
        std::erase_if(confirmed_.entries,
                      [&](const log_entry& entry) { return entry.position.index >= first; });
    }

    bool confirm() {
        const auto kept = storage_->log().entries_from(storage_->log().base().index + 1);
        confirmed_ = {.state = storage_->state(),
                      .snapshot = storage_->log().base(),
                      .entries = {kept.begin(), kept.end()}};
        return true;
    }

    simulated_storage* storage_;
    confirmed_state confirmed_;
};

/// Whether `found` holds all that was confirmed; it may hold more that was written meanwhile.
inline bool holds(const simulated_storage& found, const confirmed_state& confirmed) {
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

inline const std::array work_cases{
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
    work_case{"entries of several pages",
              [](storage_user& user) {
                  return user.append(1, 2, 1) && user.append_large(1, 4, 2) &&
                         user.append_large(2, 5, 1) && user.append(2, 7, 1);
              }},
};

} // namespace hawthornstall::control
