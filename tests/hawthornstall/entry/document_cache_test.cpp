#include "hawthornstall/control/simulated_disk.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/entry/document_cache.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::entry {
namespace {

/// Folder that is removed at the end of a test.
class scratch_folder {
public:
    scratch_folder() {
        std::string pattern = (std::filesystem::temp_directory_path() / "documents.XXXXXX");
        path_ = mkdtemp(pattern.data());
    }
    ~scratch_folder() { std::filesystem::remove_all(path_); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }
    [[nodiscard]] std::string file() const { return path_ + "/documents"; }

private:
    std::string path_;
};

control::config_delta make_documents(std::uint64_t version) {
    core::service_document document;
    document.service = "restock";
    document.team = "restock-team";
    document.version = version;
    return {0, version, {document}};
}

struct damage_case {
    std::string_view name;
    void (*damage)(const std::string& file);
};

const std::array damage_cases{
    damage_case{"truncated",
                [](const std::string& file) {
                    std::filesystem::resize_file(file, 20);
                }},
    damage_case{"empty",
                [](const std::string& file) {
                    std::filesystem::resize_file(file, 0);
                }},
    damage_case{"flipped byte",
                [](const std::string& file) {
                    std::fstream stream{file, std::ios::in | std::ios::out | std::ios::binary};
                    stream.seekg(30);
                    const auto byte = static_cast<char>(stream.get() ^ 1);
                    stream.seekp(30);
                    stream.put(byte);
                }},
};

// Guards against a host that restarts with older documents than it has applied before.
TEST_CASE("the latest saved documents are loaded") {
    const scratch_folder folder;
    const auto nothing = load_documents(folder.path());
    REQUIRE(nothing.ok());
    CHECK_FALSE(nothing->has_value());
    for (const std::uint64_t version : {1U, 2U, 7U}) {
        REQUIRE(save_documents(folder.path(), make_documents(version)).ok());
        const auto loaded = load_documents(folder.path());
        REQUIRE(loaded.ok());
        CHECK(*loaded == make_documents(version));
    }
}

// Guards against a host that decodes a damaged file and applies wrong documents.
TEST_CASE("damaged documents are refused") {
    for (const auto& test : damage_cases) {
        CAPTURE(test.name);
        const scratch_folder folder;
        REQUIRE(save_documents(folder.path(), make_documents(3)).ok());
        test.damage(folder.file());
        CHECK(load_documents(folder.path()).status().code() == absl::StatusCode::kDataLoss);
    }
}

struct torn_case {
    std::string_view name;
    control::write_extent extent;
};

constexpr std::array torn_cases{
    torn_case{"a prefix, the file ends after it", control::write_extent::prefix},
    torn_case{"a prefix of sectors, then zeros", control::write_extent::prefix_of_sectors},
    torn_case{"a prefix of bytes, then zeros", control::write_extent::prefix_of_bytes},
    torn_case{"a prefix, then noise", control::write_extent::prefix_then_noise},
    torn_case{"sectors in any order", control::write_extent::some_sectors},
    torn_case{"pages in any order", control::write_extent::some_pages},
    torn_case{"the end without the beginning", control::write_extent::suffix},
};

struct fault_case {
    std::string_view name;
    control::disk_fault fault;
};

constexpr std::array power_losses{
    fault_case{"before the operation", control::disk_fault::power_lost_before},
    fault_case{"after the operation", control::disk_fault::power_lost_after},
    fault_case{"all unsynced writes are lost", control::disk_fault::power_lost_unsynced},
};

constexpr unsigned seeds = 12;

/// Documents that take several pages of the disk.
control::config_delta make_large_documents(std::uint64_t version) {
    constexpr std::size_t services = 100;
    auto documents = make_documents(version);
    documents.documents.resize(services, documents.documents.front());
    for (std::size_t index = 0; index < services; ++index) {
        documents.documents[index].service += std::to_string(index);
    }
    return documents;
}

/// A host that saves versions of its documents on a simulated disk, and loses its power.
class restarting_host {
public:
    explicit restarting_host(unsigned seed) : random_{seed} {}

    /// Saves versions until the power is lost at `operation`. Returns whether it was lost before
    /// `versions` were saved.
    bool save_until(const fault_case& loss, std::size_t operation, std::uint64_t versions) {
        disk_.set_fault(loss.fault, operation);
        for (std::uint64_t count = 0; count < versions; ++count) {
            ++latest_;
            if (!save_documents(files_, folder, make_large_documents(latest_)).ok()) {
                return true;
            }
            confirmed_ = latest_;
        }
        return false;
    }

    void restart(control::write_extent torn) { disk_.restart(random_, std::span{&torn, 1}); }

    /// Checks that a confirmed version, or a later one that was being saved, is loaded.
    void check_loaded() {
        const auto loaded = load_documents(files_, folder);
        INFO(loaded.status().ToString());
        REQUIRE(loaded.ok());
        const auto version = loaded->has_value() ? (*loaded)->to_revision : 0;
        CHECK(version >= confirmed_);
        CHECK(version <= latest_);
        if (version > 0) {
            CHECK(**loaded == make_large_documents(version));
        }
        confirmed_ = version;
    }

private:
    static inline const std::string folder = "/data";

    control::simulated_disk disk_;
    control::simulated_files files_{&disk_};
    std::mt19937 random_;
    std::uint64_t latest_ = 0;    ///< Latest version that the host has begun to save.
    std::uint64_t confirmed_ = 0; ///< Latest version that must not be lost.
};

/// Calls `check` for each kind of loss and of torn write.
void for_each_loss(
    const std::function<void(const fault_case&, const torn_case&, unsigned)>& check) {
    for (const auto& loss : power_losses) {
        for (const auto& torn : torn_cases) {
            for (unsigned seed = 0; seed < seeds; ++seed) {
                CAPTURE(loss.name);
                CAPTURE(torn.name);
                CAPTURE(seed);
                check(loss, torn, seed);
            }
        }
    }
}

// Guards against a host that finds older documents than it has saved, or damaged ones, after a
// loss of power during any operation of a save.
TEST_CASE("a loss of power leaves the old or the new documents") {
    for_each_loss([](const fault_case& loss, const torn_case& torn, unsigned seed) {
        bool lost = true;
        for (std::size_t operation = 1; lost; ++operation) {
            CAPTURE(operation);
            restarting_host host{seed};
            lost = host.save_until(loss, operation, 3);
            host.restart(torn.extent);
            host.check_loaded();
        }
    });
}

// Guards against a second loss of power before the folder has been synced again. The first one may
// have kept the new name of a file and the temporary one too, so that both name the same file.
TEST_CASE("a second loss of power leaves the old or the new documents") {
    for_each_loss([](const fault_case& loss, const torn_case& torn, unsigned seed) {
        constexpr std::size_t operations = 18; // Of three saves.
        for (std::size_t first = 1; first <= operations; ++first) {
            for (std::size_t second = 1; second <= operations; ++second) {
                CAPTURE(first);
                CAPTURE(second);
                restarting_host host{seed};
                for (const auto operation : {first, second}) {
                    host.save_until(loss, operation, 3);
                    host.restart(torn.extent);
                    host.check_loaded();
                }
            }
        }
    });
}

struct tear_case {
    std::string_view name;
    std::string old; ///< Content of the file before the write.
};

// Guards against a file that a torn write has left, on a disk that breaks its promise about synced
// files, being decoded as documents that nobody has saved.
TEST_CASE("a torn file holds the documents or is refused") {
    const auto written = make_large_documents(8);
    const std::array tear_cases{tear_case{"a new file", ""},
                                tear_case{"an older file", encode_saved(make_large_documents(7))}};
    for (const auto& tear : tear_cases) {
        for (const auto& torn : torn_cases) {
            for (unsigned seed = 0; seed < 10 * seeds; ++seed) {
                CAPTURE(tear.name);
                CAPTURE(torn.name);
                CAPTURE(seed);
                std::mt19937 random{seed};
                auto content = tear.old;
                control::simulated_files::make_write(encode_saved(written), 0)(content, torn.extent,
                                                                               random);
                const auto decoded = decode_saved("documents", content);
                if (decoded.ok()) {
                    CHECK((*decoded == written || content == tear.old));
                } else {
                    CHECK(decoded.status().code() == absl::StatusCode::kDataLoss);
                }
            }
        }
    }
}

// Guards against a byte outside the checksum that changes what the file means.
TEST_CASE("a flipped bit or a cut anywhere never yields other documents") {
    const auto written = make_documents(3);
    const auto whole = encode_saved(written);
    for (std::size_t position = 0; position < whole.size(); ++position) {
        CAPTURE(position);
        CHECK(decode_saved("documents", whole.substr(0, position)).status().code() ==
              absl::StatusCode::kDataLoss);
        for (unsigned bit = 0; bit < 8; ++bit) {
            CAPTURE(bit);
            auto flipped = whole;
            flipped[position] = static_cast<char>(flipped[position] ^ (1U << bit));
            const auto decoded = decode_saved("documents", flipped);
            if (decoded.ok()) {
                CHECK(*decoded == written);
            } else {
                CHECK(decoded.status().code() == absl::StatusCode::kDataLoss);
            }
        }
    }
}

struct reason_case {
    std::string_view name;
    std::string bytes;
    std::string_view reason;
};

// Guards against a log line that says neither which file is damaged nor how.
TEST_CASE("the reason names the file and the problem") {
    auto flipped = encode_saved(make_documents(3));
    flipped.back() = static_cast<char>(flipped.back() ^ 1);
    const std::array reason_cases{
        reason_case{"empty", "", "0 bytes"},
        reason_case{"zeros", std::string(512, '\0'), "512 bytes"},
        reason_case{"flipped", flipped, "the checksum does not match"},
    };
    for (const auto& test : reason_cases) {
        CAPTURE(test.name);
        const auto reason = core::describe(decode_saved("/data/documents", test.bytes).status());
        CAPTURE(reason);
        CHECK(reason.find("/data/documents") != std::string::npos);
        CHECK(reason.find(test.reason) != std::string::npos);
    }
}

} // namespace
} // namespace hawthornstall::entry
