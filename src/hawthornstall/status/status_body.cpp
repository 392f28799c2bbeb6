#include "hawthornstall/status/status_body.hpp"

#include <nlohmann/json.hpp>

#include <array>
#include <utility>

namespace hawthornstall::status {
namespace detail {
namespace {

using nlohmann::json;

constexpr std::array paths{
    std::pair{std::string_view{"/v1/hosts"}, status_kind::hosts},
    std::pair{std::string_view{"/v1/targets"}, status_kind::targets},
    std::pair{std::string_view{"/v1/rollout"}, status_kind::rollout},
    std::pair{std::string_view{"/v1/jobs"}, status_kind::jobs},
    std::pair{std::string_view{"/v1/zones"}, status_kind::zones},
};

double to_cores(std::int64_t cpu_millis) {
    constexpr double millis_per_core = 1'000.0;
    return static_cast<double>(cpu_millis) / millis_per_core;
}

/// Encodes a value that the queried process does not know as null.
template <class Value> json to_json(const std::optional<Value>& value) {
    return value ? json(*value) : json(nullptr);
}

json encode(const host_row& row) {
    return {{"name", row.name},           {"zone", row.zone},
            {"reachable", row.reachable}, {"draining", row.draining},
            {"role", row.role},           {"held_targets", to_json(row.held_targets)}};
}

json encode(const target_row& row) {
    return {{"name", row.name},
            {"zone", row.zone},
            {"address", row.address},
            {"services", json::array({row.service})},
            {"cores", to_cores(row.capacity.cpu_millis)},
            {"memory_mb", row.capacity.memory_mb},
            {"holder", row.holder},
            {"token", to_json(row.token)},
            {"runs", to_json(row.runs)},
            {"available", row.available},
            {"reason", row.reason}};
}

json encode(const config_row& row) {
    return {{"name", row.name},
            {"zone", row.zone},
            {"reachable", row.reachable},
            {"config_version", row.version},
            {"config_revision", row.revision}};
}

json encode(const job_row& row) {
    return {{"id", row.id},
            {"service", row.service},
            {"age_ms", row.age.count()},
            {"deadline_ms", row.deadline.count()},
            {"pending_tasks", row.pending_tasks},
            {"running_tasks", row.running_tasks},
            {"done_tasks", row.done_tasks},
            {"running_on", row.running_on},
            {"ending", row.ending}};
}

json encode(const zone_row& row) {
    return {{"name", row.name}, {"drained", row.drained}, {"config_revision", row.revision}};
}

} // namespace
} // namespace detail

std::optional<status_kind> kind_of(std::string_view path) noexcept {
    for (const auto& [name, kind] : detail::paths) {
        if (name == path) {
            return kind;
        }
    }
    return std::nullopt;
}

std::string encode_rows(const status_rows& rows) {
    auto body = nlohmann::json::array();
    std::visit(
        [&](const auto& list) {
            for (const auto& row : list) {
                body.push_back(detail::encode(row));
            }
        },
        rows);
    // Names come from other processes and may be invalid UTF-8. By default dump() would throw, so
    // such bytes are replaced.
    return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace hawthornstall::status
