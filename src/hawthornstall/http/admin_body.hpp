#pragma once

/// Encoding and decoding of the JSON bodies of administration requests and answers.

#include "hawthornstall/core/admin_view.hpp"
#include "hawthornstall/core/submission_id.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornstall::http {

/// Writes a JSON array with one object per row. Times are in ms; absent ages are null.
[[nodiscard]] std::string encode_view(const core::admin_view& view);

/// Reads `{"service":"…"}`.
[[nodiscard]] absl::StatusOr<std::string> decode_service_name(std::string_view body);

/// Writes `{"submission_id":"…"}`.
[[nodiscard]] std::string encode_submission_id(const core::submission_id& id);

/// Writes `{"result":"accepted","version":n}`.
[[nodiscard]] std::string encode_edit_answer(std::string_view result, std::uint64_t version);

/// A decoded answer to a configuration edit.
struct received_edit_answer {
    std::string result;
    std::uint64_t version = 0;

    bool operator==(const received_edit_answer&) const = default;
};

/// Inverse of encode_edit_answer.
[[nodiscard]] absl::StatusOr<received_edit_answer> decode_edit_answer(std::string_view body);

} // namespace hawthornstall::http
