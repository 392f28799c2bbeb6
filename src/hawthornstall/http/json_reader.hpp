#pragma once

/// Reads JSON documents for the decoders in this folder. Errors name the path of the faulty field.

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace hawthornstall::http::detail {

/// Whether a field may be absent.
enum class presence : std::uint8_t { required, optional };

/// Inclusive bounds of a number.
struct number_range {
    std::uint64_t smallest = 0;
    std::uint64_t largest = UINT64_MAX;
};

/// Inclusive bounds of the length of a string in bytes.
struct length_range {
    std::size_t shortest = 0;
    std::size_t longest = SIZE_MAX;
};

/// Length of the names of targets, zones, racks and services. It is the same in all bodies, so that
/// a caller can name every service that a target announces.
inline constexpr length_range name_length{1, 200};

/// Records the first fault of a document. Later faults are ignored, since they usually follow from
/// the first.
class fault_recorder {
public:
    /// `step` identifies the decoder in the error.
    explicit fault_recorder(std::string_view step) : step_(step) {}

    /// Records that the value at `path` has `problem`; an empty path means the whole document.
    void add(std::string_view path, std::string_view problem);

    /// InvalidArgument with the first fault, or OK.
    [[nodiscard]] const absl::Status& status() const noexcept { return status_; }

private:
    std::string step_;
    absl::Status status_;
};

/// Parses `text` as one JSON document without duplicate fields. On a fault, records it in `faults`
/// and returns null.
[[nodiscard]] nlohmann::json parse_document(std::string_view text, fault_recorder& faults);

/// Reads the fields of one JSON object. A reader function that finds a fault records it and returns
/// the default value.
class object_reader {
public:
    /// `path` locates `value` in errors, for example "tasks[3]"; empty for the whole document.
    object_reader(const nlohmann::json& value, std::string path, fault_recorder& faults);

    /// A string, an unsigned integer or a boolean field; the default value when absent.
    [[nodiscard]] std::string text(const char* field, presence needed, length_range length = {});
    [[nodiscard]] std::uint64_t number(const char* field, presence needed, number_range range = {});
    [[nodiscard]] bool flag(const char* field, presence needed);

    /// Calls `read` with each element of the array in `field` and the path of the element, for
    /// example "tasks[3]".
    void each(const char* field, presence needed,
              const std::function<void(const nlohmann::json&, const std::string&)>& read);

    /// The object in `field`; an empty object when it is absent or not an object.
    [[nodiscard]] object_reader object(const char* field, presence needed);

    /// Whether `field` is present; does not count as looking it up.
    [[nodiscard]] bool has(const char* field) const;

    /// Records a fault of `field`.
    void fault(const char* field, std::string_view problem);

    /// Records a fault if the object has a field that no earlier call has looked up, since it is
    /// most likely misspelt.
    void refuse_unknown_fields();

private:
    /// The value of `field`, which counts as looked up; null when absent.
    [[nodiscard]] const nlohmann::json* find(const char* field, presence needed);
    [[nodiscard]] std::string path_of(std::string_view field) const;

    const nlohmann::json* value_;
    std::string path_;
    fault_recorder* faults_;
    std::set<std::string, std::less<>> looked_up_fields_; ///< Fields looked up so far.
};

/// Reads a string value; a fault is recorded under `path`.
[[nodiscard]] std::string read_text(const nlohmann::json& value, const std::string& path,
                                    length_range length, fault_recorder& faults);

/// Serialises `value` without white space. Fails if it contains a string that is not UTF-8.
[[nodiscard]] absl::StatusOr<std::string> write_document(const nlohmann::json& value);

} // namespace hawthornstall::http::detail
