/// damage_log: leaves a file of checksummed records as a torn write or a damaged disk would.

#include "hawthornstall/control/record_format.hpp"

#include <algorithm>
#include <array>
#include <cstdint>
#include <fstream>
#include <iostream>
#include <iterator>
#include <random>
#include <span>
#include <string>
#include <string_view>

namespace hawthornstall::control {
namespace {

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

std::string read_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

bool write_file(const std::string& path, std::string_view bytes) {
    return static_cast<bool>(std::ofstream{path, std::ios::binary | std::ios::trunc} << bytes);
}

/// The last record of `bytes`, with its header and trailer.
std::string last_record(std::string_view bytes) {
    const auto scan = scan_records(bytes);
    return scan.records.empty() ? std::string{}
                                : std::string{bytes.substr(scan.records.back().offset)};
}

std::string noise(std::size_t size) {
    std::mt19937 random{1};
    std::string bytes(size, '\0');
    std::ranges::generate(bytes, [&] { return static_cast<char>(random()); });
    return bytes;
}

/// A write of one more record, as far as it has reached the disk.
struct torn_write {
    std::string_view name;
    std::string (*tear)(const std::string& record);
};

constexpr std::array torn_writes{
    torn_write{"front-then-zeros",
               [](const std::string& record) {
                   const auto kept = record.size() * 3 / 5;
                   return record.substr(0, kept) + std::string(record.size() - kept, '\0');
               }},
    torn_write{"front-then-noise",
               [](const std::string& record) {
                   const auto kept = record.size() * 3 / 5;
                   return record.substr(0, kept) + noise(record.size() - kept);
               }},
    torn_write{"end-after-zeros",
               [](const std::string& record) {
                   const auto lost = record.size() / 2;
                   return std::string(lost, '\0') + record.substr(lost);
               }},
};

int append_torn_write(const std::string& path, std::string_view name) {
    const auto* const torn = std::ranges::find(torn_writes, name, &torn_write::name);
    auto bytes = read_file(path);
    const auto record = last_record(bytes);
    if (torn == torn_writes.end() || record.empty()) {
        return exit_usage;
    }
    return write_file(path, bytes + torn->tear(record)) ? 0 : exit_failure;
}

/// Flips a bit in the middle of the record that is the `number`th from the end.
int flip_record(const std::string& path, std::size_t number) {
    auto bytes = read_file(path);
    const auto records = scan_records(bytes).records;
    if (number == 0 || number > records.size()) {
        return exit_usage;
    }
    const auto& record = records[records.size() - number];
    const auto middle =
        static_cast<std::size_t>(record.payload.data() - bytes.data()) + record.payload.size() / 2;
    bytes[middle] = static_cast<char>(bytes[middle] ^ 1);
    return write_file(path, bytes) ? 0 : exit_failure;
}

int run(std::span<char* const> arguments) {
    const std::string_view command = arguments[1];
    if (command == "tear") {
        return append_torn_write(arguments[2], arguments[3]);
    }
    return command == "flip" ? flip_record(arguments[2], std::stoul(arguments[3])) : exit_usage;
}

} // namespace
} // namespace hawthornstall::control

int main(int argc, char** argv) {
    const std::span<char* const> arguments{argv, static_cast<std::size_t>(argc)};
    const int code = arguments.size() == 4 ? hawthornstall::control::run(arguments) : 2;
    if (code != 0) {
        std::cerr
            << "usage: damage_log tear FILE front-then-zeros|front-then-noise|end-after-zeros\n"
               "       damage_log flip FILE NUMBER\n";
    }
    return code;
}
