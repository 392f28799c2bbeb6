#include "hawthornstall/entry/decode_edit.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/settings/service_document_json.hpp"

#include <charconv>
#include <cstdint>
#include <optional>
#include <string_view>

namespace hawthornstall::entry {
namespace detail {

std::optional<std::uint64_t> parse_version(std::string_view text) {
    std::uint64_t version = 0;
    const char* const end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, version);
    if (text.empty() || result.ec != std::errc{} || result.ptr != end) {
        return std::nullopt;
    }
    return version;
}

} // namespace detail

absl::StatusOr<control::edit_command>
decode_edit::operator()(const authorized_edit& authorized) const {
    const auto& edit = authorized.edit;
    const auto base = detail::parse_version(edit.base_version);
    if (!base || edit.edit_id.empty()) {
        return core::make_error(absl::StatusCode::kInvalidArgument,
                                {.step = "decode_edit", .peer = {}},
                                "send the headers If-Match: <version, 0 to create> and X-Edit-Id: "
                                "<identifier of this edit>");
    }
    auto document = settings::parse_service_document(edit.body);
    if (!document.ok()) {
        return document.status();
    }
    return control::edit_command{.edit_id = std::string{edit.edit_id},
                                 .service = std::string{edit.service},
                                 .base_version = *base,
                                 .document = *std::move(document),
                                 .actor = authorized.editor.name,
                                 .actor_team = authorized.editor.team,
                                 .wall_time = core::ms_clock::wall_now(),
                                 .host = host_};
}

} // namespace hawthornstall::entry
