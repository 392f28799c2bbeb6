#include "hawthornstall/entry/document_cache.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
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

} // namespace
} // namespace hawthornstall::entry
