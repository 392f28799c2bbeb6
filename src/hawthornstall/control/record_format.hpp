#pragma once

/// Checksummed records, in which a torn write at the end can be distinguished from damage.

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// Appends one record with `payload` (below 4 GiB) to `bytes`.
///
/// Layout, little-endian, padded to a multiple of 8 bytes: payload length (4 bytes), checksum of
/// the length (4), xxh3 of the payload (8), payload, padding, trailer (8). The length has a
/// checksum of its own, so that a damaged length is not mistaken for a truncated record. The
/// trailer is not zero and never crosses a sector, so that zeros at the end of a record that reach
/// back to a sector boundary mean that the sector was not written.
void append_record(std::string& bytes, std::string_view payload);

/// Records start at multiples of this many bytes.
constexpr std::size_t record_alignment = 8;

/// Size of a record without payload.
constexpr std::size_t min_record_bytes = 24;

/// How a sequence of records ends.
enum class record_end : std::uint8_t {
    whole,   ///< After a complete record.
    torn,    ///< The last record was not written completely; it was never synced.
    damaged, ///< A record was altered after it was written.
};

/// Record that scan_records() found.
struct read_record {
    std::uint64_t offset = 0;
    std::string_view payload; ///< View into the scanned bytes.
};

/// Result of scan_records().
struct record_scan {
    std::vector<read_record> records; ///< Up to the first one that is torn or damaged.
    std::uint64_t valid_bytes = 0;    ///< End of the last of these records.
    record_end end = record_end::whole;
};

/// Reads records up to the end of `bytes` or the first one that is torn or damaged.
[[nodiscard]] record_scan scan_records(std::string_view bytes);

/// Payload of the record at the start of `bytes`; empty when it is not whole.
[[nodiscard]] std::optional<std::string_view> first_record(std::string_view bytes);

/// Payload of the record if `bytes` is exactly one complete record.
[[nodiscard]] std::optional<std::string_view> single_record(std::string_view bytes);

} // namespace hawthornstall::control
