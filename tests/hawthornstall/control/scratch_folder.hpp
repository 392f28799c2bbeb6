#pragma once

/// Folder for one test, removed afterwards.

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <string>
#include <string_view>

namespace hawthornstall::control {

class scratch_folder {
public:
    scratch_folder() {
        std::string name = std::filesystem::temp_directory_path() / "hawthornstall-XXXXXX";
        if (mkdtemp(name.data()) == nullptr) {
            throw std::runtime_error{"mkdtemp failed"};
        }
        path_ = name;
    }
    ~scratch_folder() { std::filesystem::remove_all(path_); }
    scratch_folder(const scratch_folder&) = delete;
    scratch_folder& operator=(const scratch_folder&) = delete;
    scratch_folder(scratch_folder&&) = delete;
    scratch_folder& operator=(scratch_folder&&) = delete;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    std::string path_;
};

inline std::string read_all(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

inline void write_all(const std::string& path, std::string_view bytes) {
    std::ofstream{path, std::ios::binary | std::ios::trunc} << bytes;
}

} // namespace hawthornstall::control
