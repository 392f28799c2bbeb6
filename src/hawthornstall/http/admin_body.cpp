#include "hawthornstall/http/admin_body.hpp"

#include "hawthornstall/http/json_reader.hpp"

#include <nlohmann/json.hpp>

namespace hawthornstall::http {
namespace detail {

nlohmann::json to_json(const core::host_view& host) {
    nlohmann::json row{{"name", host.name},
                       {"zone", host.zone},
                       {"reachable", host.reachable},
                       {"draining", host.draining},
                       {"config_revision", host.config_revision},
                       {"config_age_ms", nullptr},
                       {"owned", host.owned}};
    if (host.config_age.count() >= 0) {
        row["config_age_ms"] = host.config_age.count();
    }
    return row;
}

nlohmann::json to_json(const core::target_view& target) {
    const auto& announcement = target.last_announcement;
    return {{"name", announcement.name},
            {"zone", announcement.zone},
            {"rack", announcement.rack},
            {"address", announcement.address},
            {"services", announcement.services},
            {"incarnation", announcement.incarnation},
            {"sequence", announcement.sequence},
            {"slots", announcement.capacity.slots},
            {"cores", announcement.capacity.cores},
            {"memory_mb", announcement.capacity.memory_mb},
            {"accelerators", announcement.capacity.accelerators},
            {"available", target.available},
            {"reason", target.reason}};
}

nlohmann::json to_json(const core::shard_view& shard) {
    return {{"service", shard.service},
            {"zone", shard.zone},
            {"serving", shard.serving},
            {"has_quorum", shard.has_quorum},
            {"epoch", shard.epoch},
            {"generation", shard.generation},
            {"queued_tasks", shard.queued_tasks},
            {"running_tasks", shard.running_tasks},
            {"ejected_targets", shard.ejected_targets}};
}

nlohmann::json to_json(const core::audit_view& record) {
    return {{"revision", record.revision},
            {"edit_id", record.edit_id},
            {"service", record.service},
            {"actor", record.actor},
            {"team", record.team},
            {"from_version", record.from_version},
            {"to_version", record.to_version},
            {"wall_time_ms", core::to_count(record.wall_time)},
            {"host", record.host}};
}

} // namespace detail

std::string encode_view(const core::admin_view& view) {
    auto rows = nlohmann::json::array();
    std::visit(
        [&](const auto& typed_rows) {
            for (const auto& row : typed_rows) {
                rows.push_back(detail::to_json(row));
            }
        },
        view);
    // Names come from targets and other hosts. Bytes that are not UTF-8 are replaced, so that one
    // bad name does not make the whole view fail.
    return rows.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

absl::StatusOr<std::string> decode_service_name(std::string_view body) {
    detail::fault_recorder faults{"decode_service_name"};
    const auto document = detail::parse_document(body, faults);
    detail::object_reader reader{document, "", faults};
    auto service = reader.text("service", detail::presence::required, detail::name_length);
    reader.refuse_unknown_fields();
    if (!faults.status().ok()) {
        return faults.status();
    }
    return service;
}

std::string encode_submission_id(const core::submission_id& id) {
    return nlohmann::json{{"submission_id", core::to_string(id)}}.dump();
}

std::string encode_edit_answer(std::string_view result, std::uint64_t version) {
    return nlohmann::json{{"result", result}, {"version", version}}.dump();
}

absl::StatusOr<received_edit_answer> decode_edit_answer(std::string_view body) {
    detail::fault_recorder faults{"decode_edit_answer"};
    const auto document = detail::parse_document(body, faults);
    detail::object_reader reader{document, "", faults};
    received_edit_answer answer{.result = reader.text("result", detail::presence::required),
                                .version = reader.number("version", detail::presence::required)};
    if (!faults.status().ok()) {
        return faults.status();
    }
    return answer;
}

} // namespace hawthornstall::http
