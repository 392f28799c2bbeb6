#include "hawthornstall/control/record_format.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cstring>
#include <type_traits>

namespace hawthornstall::control {
namespace detail {

static_assert(std::endian::native == std::endian::little, "records are written in native order");

constexpr std::size_t header_bytes = 16;
constexpr std::size_t sector_bytes = 512;
constexpr std::uint64_t trailer = 0x9d7b5a3cc3a5b7d9;
constexpr char padding = '\x5a';
constexpr std::uint64_t length_seed = 0x6c656e677468;

struct record_header {
    std::uint32_t length = 0;
    std::uint32_t length_checksum = 0;
    std::uint64_t payload_hash = 0;
};
static_assert(sizeof(record_header) == header_bytes);
static_assert(header_bytes + sizeof trailer == min_record_bytes);

std::uint32_t length_checksum_of(std::uint32_t length) {
    return static_cast<std::uint32_t>(XXH3_64bits_withSeed(&length, sizeof length, length_seed));
}

template <class Value> void append_bytes(std::string& bytes, const Value& value) {
    static_assert(std::is_trivially_copyable_v<Value>);
    const auto start = bytes.size();
    bytes.resize(start + sizeof value);
    std::memcpy(bytes.data() + start, &value, sizeof value);
}

template <class Value> Value read_bytes(std::string_view bytes) {
    Value value{};
    std::memcpy(&value, bytes.data(), sizeof value);
    return value;
}

std::uint64_t padded_length(std::uint64_t length) {
    return (length + record_alignment - 1) / record_alignment * record_alignment;
}

/// Whether the bytes from some sector boundary before `end` up to the end of the file are zeros, as
/// a file system leaves them when the size of a file reaches the disk before its content.
bool has_unwritten_tail(std::string_view bytes, std::uint64_t offset, std::uint64_t end) {
    const auto last = bytes.find_last_not_of('\0');
    const std::uint64_t zeros_from = last == std::string_view::npos ? 0 : last + 1;
    const auto boundary = (zeros_from + sector_bytes - 1) / sector_bytes * sector_bytes;
    return zeros_from <= offset || boundary < end;
}

bool is_intact(std::string_view body, const record_header& header) {
    const auto payload = body.substr(0, header.length);
    const auto pad = body.substr(header.length, padded_length(header.length) - header.length);
    return XXH3_64bits(payload.data(), payload.size()) == header.payload_hash &&
           std::ranges::all_of(pad, [](char byte) { return byte == padding; }) &&
           read_bytes<std::uint64_t>(body.substr(padded_length(header.length))) == trailer;
}

} // namespace detail

void append_record(std::string& bytes, std::string_view payload) {
    const auto length = static_cast<std::uint32_t>(payload.size());
    detail::append_bytes(
        bytes, detail::record_header{.length = length,
                                     .length_checksum = detail::length_checksum_of(length),
                                     .payload_hash = XXH3_64bits(payload.data(), payload.size())});
    bytes.append(payload);
    bytes.append(detail::padded_length(length) - length, detail::padding);
    detail::append_bytes(bytes, detail::trailer);
}

std::optional<std::string_view> first_record(std::string_view bytes) {
    if (bytes.size() < min_record_bytes) {
        return std::nullopt;
    }
    const auto header = detail::read_bytes<detail::record_header>(bytes);
    if (header.length_checksum != detail::length_checksum_of(header.length) ||
        min_record_bytes + detail::padded_length(header.length) > bytes.size()) {
        return std::nullopt;
    }
    const auto body = bytes.substr(detail::header_bytes);
    return detail::is_intact(body, header) ? std::optional{body.substr(0, header.length)}
                                           : std::nullopt;
}

record_scan scan_records(std::string_view bytes) {
    record_scan scan;
    while (scan.valid_bytes < bytes.size()) {
        const auto offset = scan.valid_bytes;
        const auto rest = bytes.substr(offset);
        const auto stop_at = [&](std::uint64_t end) {
            scan.end = detail::has_unwritten_tail(bytes, offset, end) ? record_end::torn
                                                                      : record_end::damaged;
            return scan;
        };
        if (rest.size() < detail::header_bytes) {
            scan.end = record_end::torn;
            return scan;
        }
        const auto header = detail::read_bytes<detail::record_header>(rest);
        if (header.length_checksum != detail::length_checksum_of(header.length)) {
            return stop_at(offset);
        }
        const auto total =
            detail::header_bytes + detail::padded_length(header.length) + sizeof detail::trailer;
        if (total > rest.size()) {
            scan.end = record_end::torn;
            return scan;
        }
        const auto body = rest.substr(detail::header_bytes);
        if (!detail::is_intact(body, header)) {
            return stop_at(offset + total);
        }
        scan.records.push_back({.offset = offset, .payload = body.substr(0, header.length)});
        scan.valid_bytes += total;
    }
    return scan;
}

std::optional<std::string_view> single_record(std::string_view bytes) {
    const auto scan = scan_records(bytes);
    if (scan.end != record_end::whole || scan.records.size() != 1) {
        return std::nullopt;
    }
    return scan.records.front().payload;
}

} // namespace hawthornstall::control
