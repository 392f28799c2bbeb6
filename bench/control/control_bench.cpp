#include "hawthornstall/control/config_replica.hpp"
#include "hawthornstall/control/file_storage.hpp"

#include <benchmark/benchmark.h>

#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <string>
#include <vector>

namespace hawthornstall::control {
namespace {

class data_folder {
public:
    data_folder() {
        std::string name = std::filesystem::temp_directory_path() / "hawthornstall-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error{"mkdtemp failed"};
        }
        path_ = name;
    }
    ~data_folder() { std::filesystem::remove_all(path_); }
    data_folder(const data_folder&) = delete;
    data_folder& operator=(const data_folder&) = delete;
    data_folder(data_folder&&) = delete;
    data_folder& operator=(data_folder&&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

edit_command make_edit(std::uint64_t version) {
    edit_command edit;
    edit.edit_id = "edit-" + std::to_string(version);
    edit.service = edit.document.service = "routes";
    edit.base_version = version;
    edit.document.team = edit.actor_team = "vans";
    edit.actor = "ana";
    edit.host = "entry-1";
    return edit;
}

void check(const absl::Status& status) {
    if (!status.ok()) {
        throw std::runtime_error{status.ToString()};
    }
}

file_storage open_storage(const std::string& folder) {
    auto storage = file_storage::open(folder, "control-1", 7);
    check(storage.status());
    return std::move(*storage);
}

/// Log with `count` synced edits after the snapshot that created the cluster.
void write_edits(const std::string& folder, std::uint64_t count) {
    auto storage = open_storage(folder);
    check(create_cluster(storage, 9));
    std::vector<log_entry> entries;
    for (std::uint64_t version = 0; version < count; ++version) {
        auto& entry = entries.emplace_back();
        entry.position = {1, version + 2};
        entry.payload = make_edit(version);
    }
    check(storage.append(entries));
    check(storage.sync());
}

/// Appends and syncs one group of records per iteration.
void synced_append(benchmark::State& state) {
    const data_folder folder;
    auto storage = open_storage(folder.path());
    std::uint64_t index = 0;
    for (auto _ : state) {
        std::vector<log_entry> entries;
        for (std::int64_t count = 0; count < state.range(0); ++count) {
            ++index;
            auto& entry = entries.emplace_back();
            entry.position = {1, index};
            entry.payload = make_edit(index);
        }
        check(storage.append(entries));
        check(storage.sync());
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}
BENCHMARK(synced_append)->Arg(1)->Arg(16)->UseRealTime()->Unit(benchmark::kMicrosecond);

/// Opens the folder and applies all edits. The wait for the election passes on a virtual clock and
/// is not included.
void recovery(benchmark::State& state) {
    const data_folder folder;
    const auto changes = static_cast<std::uint64_t>(state.range(0));
    write_edits(folder.path(), changes);
    consensus_settings settings;
    settings.compact_after_entries = 1'000'000;
    for (auto _ : state) {
        auto now = core::from_count(0);
        auto replica =
            config_replica<file_storage>::open(open_storage(folder.path()), settings, 1, now);
        check(replica.status());
        while (replica->store().revision() < changes) {
            now += settings.election_timeout;
            replica->tick(now);
            check(replica->finish(now).status());
        }
    }
}
BENCHMARK(recovery)->Arg(500)->Arg(1'000)->UseRealTime()->Unit(benchmark::kMillisecond);

} // namespace
} // namespace hawthornstall::control

BENCHMARK_MAIN();
