#pragma once

/// Reading of JSON documents with errors that name the path, for the decoders of this area.

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

/// Inclusive bounds of a text in bytes.
struct length_range {
    std::size_t shortest = 0;
    std::size_t longest = SIZE_MAX;
};

/// Keeps the first fault of a document; later ones are usually its consequences.
class fault_log {
public:
    /// `step` names the decoder in the error.
    explicit fault_log(std::string_view step) : step_(step) {}

    void add(std::string_view path, std::string_view problem);

    [[nodiscard]] const absl::Status& status() const noexcept { return status_; }

private:
    std::string step_;
    absl::Status status_;
};

/// Parses `text` as one JSON document without duplicate fields. Faults go to `log`; the result is
/// then null.
[[nodiscard]] nlohmann::json parse_document(std::string_view text, fault_log& log);

/// Reads the fields of one JSON object. A fault makes the reading return the default value.
class object_reader {
public:
    /// `path` names `value` in errors, for example "tasks[3]"; empty for the whole document.
    object_reader(const nlohmann::json& value, std::string path, fault_log& log);

    [[nodiscard]] std::string text(const char* field, presence needed, length_range length = {});
    [[nodiscard]] std::uint64_t number(const char* field, presence needed, number_range range = {});
    [[nodiscard]] bool flag(const char* field, presence needed);

    /// Calls `read` with each element of an array and its path, for example "tasks[3]".
    void each(const char* field, presence needed,
              const std::function<void(const nlohmann::json&, const std::string&)>& read);

    /// The object in `field`; an empty object when it is absent or not an object.
    [[nodiscard]] object_reader object(const char* field, presence needed);

    [[nodiscard]] bool has(const char* field) const;

    /// Adds a fault for `field`.
    void fault(const char* field, std::string_view problem);

    /// Adds a fault for every field that was not asked for, which is most likely misspelt.
    void refuse_others();

private:
    [[nodiscard]] const nlohmann::json* find(const char* field, presence needed);
    [[nodiscard]] std::string path_of(std::string_view field) const;

    const nlohmann::json* value_;
    std::string path_;
    fault_log* log_;
    std::set<std::string, std::less<>> known_;
};

/// The element as text; a fault names `path`.
[[nodiscard]] std::string read_text(const nlohmann::json& value, const std::string& path,
                                    length_range length, fault_log& log);

/// Compact text of `value`; an error when it holds text that is not UTF-8.
[[nodiscard]] absl::StatusOr<std::string> write_document(const nlohmann::json& value);

} // namespace hawthornstall::http::detail
