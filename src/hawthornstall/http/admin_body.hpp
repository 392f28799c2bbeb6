#pragma once

/// JSON bodies of administration answers.

#include "hawthornstall/core/admin_view.hpp"
#include "hawthornstall/core/submission_id.hpp"

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace hawthornstall::http {

/// One JSON array with an object per row; times in ms, absent ages as null.
[[nodiscard]] std::string encode_view(const core::admin_view& view);

/// Reads `{"service":"…"}`.
[[nodiscard]] absl::StatusOr<std::string> decode_service_name(std::string_view body);

/// Writes `{"submission_id":"…"}`.
[[nodiscard]] std::string encode_submission_id(const core::submission_id& id);

/// Writes `{"result":"accepted","version":n}`.
[[nodiscard]] std::string encode_edit_answer(std::string_view result, std::uint64_t version);

/// An edit's answer as an operator's program receives it.
struct received_edit_answer {
    std::string result;
    std::uint64_t version = 0;

    bool operator==(const received_edit_answer&) const = default;
};

/// Inverse of encode_edit_answer.
[[nodiscard]] absl::StatusOr<received_edit_answer> decode_edit_answer(std::string_view body);

} // namespace hawthornstall::http
