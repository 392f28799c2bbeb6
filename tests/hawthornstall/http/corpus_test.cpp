#include "hawthornstall/http/error_body.hpp"
#include "hawthornstall/http/job_body.hpp"
#include "hawthornstall/http/target_body.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

namespace hawthornstall::http {
namespace {

/// Size in bytes from which files are truncated and corrupted less often. With 512 truncations
/// each, three deeply nested files took over 100 s under the sanitizers.
constexpr std::size_t large_file_bytes = 1024;

/// Decodes `body` and returns whether it is accepted. Checks that an accepted value survives
/// encoding and decoding.
using decoder = bool (*)(std::string_view body);

struct corpus_case {
    std::string folder;
    decoder accepts;
};

bool accepts_job_request(std::string_view body) {
    constexpr job_context context{.service = "s", .caller = "c"};
    const auto first = decode_job_request(body, context);
    if (!first.ok()) {
        CHECK_FALSE(first.status().message().empty());
        return false;
    }
    const auto encoded = encode_job_request(*first);
    REQUIRE(encoded.ok());
    CHECK(*decode_job_request(*encoded, context) == *first);
    return true;
}

bool accepts_job_answer(std::string_view body) {
    const auto first = decode_job_answer(body);
    if (first.ok()) {
        CHECK(*decode_job_answer(encode_job_answer(*first).body) == *first);
    }
    return first.ok();
}

bool accepts_announcement(std::string_view body) {
    const auto first = decode_target_announcement(body);
    if (first.ok()) {
        CHECK(*decode_target_announcement(*encode_target_announcement(*first)) == *first);
    }
    return first.ok();
}

bool accepts_error(std::string_view body) {
    return decode_error(body).ok();
}

const std::array decoders{
    corpus_case{"job_request", accepts_job_request},
    corpus_case{"job_answer", accepts_job_answer},
    corpus_case{"target_announcement", accepts_announcement},
    corpus_case{"error", accepts_error},
};

struct corpus_file {
    std::string name;
    std::string bytes;
};

std::vector<corpus_file> read_folder(const std::string& folder) {
    std::vector<corpus_file> files;
    const auto path = std::filesystem::path{HAWTHORNSTALL_CORPUS} / folder;
    for (const auto& entry : std::filesystem::directory_iterator{path}) {
        std::ifstream file{entry.path(), std::ios::binary};
        files.push_back({entry.path().filename().string(),
                         {std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}}});
    }
    REQUIRE_FALSE(files.empty());
    return files;
}

// Guards against crashes, hangs and partly read documents on hostile bodies. Files whose name
// starts with "valid" must be accepted, all others rejected.
TEST_CASE("each decoder accepts exactly the valid files of its corpus") {
    for (const auto& test : decoders) {
        for (const auto& file : read_folder(test.folder)) {
            CAPTURE(test.folder);
            CAPTURE(file.name);
            CHECK(test.accepts(file.bytes) == file.name.starts_with("valid"));
        }
    }
}

// Guards against a decoder that accepts a truncated document or crashes on the bodies of another.
TEST_CASE("decoders reject truncated documents and do not crash on those of other decoders") {
    for (const auto& source : decoders) {
        for (const auto& file : read_folder(source.folder)) {
            CAPTURE(file.name);
            const auto complete = std::string_view{file.bytes};
            const auto step = complete.size() < large_file_bytes ? 1 : complete.size() / 16;
            for (std::size_t length = 0; length < complete.size(); length += step) {
                for (const auto& other : decoders) {
                    other.accepts(complete.substr(0, length));
                }
                const bool is_truncated =
                    complete.find_first_not_of(" \n", length) != complete.npos;
                if (file.name.starts_with("valid") && is_truncated) {
                    CHECK_FALSE(source.accepts(complete.substr(0, length)));
                }
            }
        }
    }
}

// Guards against crashes on corrupted documents. The seed is fixed so that failures are
// reproducible.
TEST_CASE("decoders do not crash on corrupted documents") {
    constexpr std::uint32_t seed = 20261204;
    std::mt19937 random{seed};
    for (const auto& test : decoders) {
        for (const auto& file : read_folder(test.folder)) {
            if (file.bytes.empty()) {
                continue;
            }
            std::uniform_int_distribution<std::size_t> position{0, file.bytes.size() - 1};
            std::uniform_int_distribution<int> byte{0, 255};
            const int rounds = file.bytes.size() < large_file_bytes ? 200 : 10;
            for (int round = 0; round < rounds; ++round) {
                auto corrupted = file.bytes;
                corrupted[position(random)] = static_cast<char>(byte(random));
                corrupted.erase(position(random) / 2, static_cast<std::size_t>(round % 3));
                test.accepts(corrupted);
            }
        }
    }
}

} // namespace
} // namespace hawthornstall::http
