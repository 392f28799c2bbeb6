#include "hawthornstall/http/error_body.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/http/http_status.hpp"
#include "hawthornstall/http/json_reader.hpp"

#include <nlohmann/json.hpp>

namespace hawthornstall::http {

encoded_answer encode_error(const absl::Status& error, core::duration_ms retry_after) {
    const auto outcome = error.code() == absl::StatusCode::kUnknown
                             ? core::outcome_class::may_have_run
                             : core::outcome_class::refused_not_run;
    const nlohmann::json document{
        {"outcome", core::to_string(outcome)},    {"code", absl::StatusCodeToString(error.code())},
        {"reason", std::string{error.message()}}, {"step", core::step_of(error)},
        {"peer", core::peer_of(error)},           {"retry_after_ms", retry_after.count()}};
    // A reason may quote bytes that are not UTF-8. They are replaced rather than rejected, since
    // the reason is only read by people.
    return {.status = status_of(error),
            .body = document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
}

absl::StatusOr<received_error> decode_error(std::string_view body) {
    using detail::presence;
    detail::fault_recorder faults{"decode_error"};
    const auto document = detail::parse_document(body, faults);
    detail::object_reader reader{document, "", faults};
    const auto outcome = core::parse_outcome(reader.text("outcome", presence::required));
    if (!outcome) {
        reader.fault("outcome", "is not a known outcome");
    }
    received_error error{.outcome = outcome.value_or(core::outcome_class::refused_not_run),
                         .code = reader.text("code", presence::optional),
                         .reason = reader.text("reason", presence::optional),
                         .step = reader.text("step", presence::optional),
                         .peer = reader.text("peer", presence::optional)};
    if (!faults.status().ok()) {
        return faults.status();
    }
    return error;
}

} // namespace hawthornstall::http
