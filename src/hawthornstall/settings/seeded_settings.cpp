#include "hawthornstall/settings/seeded_settings.hpp"

#include "hawthornstall/settings/host_entries.hpp"
#include "hawthornstall/settings/json_document.hpp"
#include "hawthornstall/settings/text_file.hpp"

#include <array>

namespace hawthornstall::settings {
namespace detail {

using enum presence;

/// Indexed by placement_choice.
constexpr std::array<std::string_view, 3> placement_names{"fit", "reserve", "backfill"};
constexpr list_range seed_count_range{1, 64};
constexpr list_range zone_count_range{0, 1'024};
constexpr number_range port_range{1, 65'535, ""};
constexpr number_range lease_time_range{100, 600'000, "ms"};
constexpr number_range stop_time_range{1, 60'000, "ms"};
constexpr number_range resubmission_delay_range{0, 600'000, "ms"};
constexpr number_range memory_range{16, 16'777'216, "MB"};
constexpr number_range descriptor_range{64, 1'048'576, ""};
constexpr number_range client_bytes_range{1'048'576, 1'099'511'627'776, "bytes"};
constexpr number_range client_connections_range{16, 1'048'576, ""};
constexpr real_range cpu_share_range{0.001, 1024.0};
constexpr real_range shutdown_grace_range_s{0.5, 3'600.0};
constexpr text_rule ip_rule{7, 45, nullptr, "an IP address"};

void read_optional_text(object_checker& fields, std::string_view key, const text_rule& rule,
                        std::optional<std::string>& text) {
    if (fields.contains(key)) {
        text.emplace();
        fields.text(key, required, rule, *text);
    }
}

void read_seeds(object_checker& fields, std::vector<socket_address>& seeds) {
    std::vector<std::string> texts;
    fields.texts("seeds", required, seed_count_range, address_rule, texts);
    for (const auto& text : texts) {
        if (const auto parsed = parse_socket_address(text)) {
            seeds.push_back(*parsed);
        }
    }
}

void read_seeded_settings(object_checker& fields, seeded_settings& settings) {
    fields.text("name", required, name_rule, settings.name);
    fields.text("zone", required, name_rule, settings.zone);
    fields.text("ip", required, ip_rule, settings.ip);
    read_optional_text(fields, "listen_ip", ip_rule, settings.listen_ip);
    fields.real("cpu_share", optional, cpu_share_range, settings.cpu_share);
    fields.number("control_peer_port", required, port_range, settings.control_peer_port);
    fields.number("entry_peer_port", required, port_range, settings.entry_peer_port);
    read_seeds(fields, settings.seeds);
    fields.texts("zones", optional, zone_count_range, name_rule, settings.zones);
    fields.flag("may_found", optional, settings.may_found);
    read_optional_address(fields, "caller_address", settings.caller_address);
    read_optional_address(fields, "readiness_address", settings.readiness_address);
    read_optional_address(fields, "operator_address", settings.operator_address);
    read_optional_address(fields, "metrics_address", settings.metrics_address);
    read_optional_text(fields, "data_folder", path_rule, settings.data_folder);
    fields.duration("longest_lease_ms", optional, lease_time_range, settings.longest_lease);
    fields.duration("stop_time_ms", optional, stop_time_range, settings.stop_time);
    fields.duration("resubmission_delay_ms", optional, resubmission_delay_range,
                    settings.resubmission_delay);
    fields.choice("placement", optional, placement_names, settings.placement);
    fields.number("memory_mb", optional, memory_range, settings.memory_mb);
    fields.number("file_descriptors", optional, descriptor_range, settings.file_descriptors);
    fields.number("max_client_bytes", optional, client_bytes_range, settings.max_client_bytes);
    fields.number("max_client_connections", optional, client_connections_range,
                  settings.max_client_connections);
    fields.real("shutdown_grace_s", optional, shutdown_grace_range_s, settings.shutdown_grace_s);
    read_log_level(fields, settings.level);
    if (settings.control_peer_port == settings.entry_peer_port) {
        fields.problems().add_conflict({"$.control_peer_port", "$.entry_peer_port"},
                                       "the ports must differ");
    }
}

} // namespace detail

absl::StatusOr<seeded_settings> parse_seeded_settings(std::string_view text) {
    seeded_settings settings;
    const auto status = check_document(text, "parse_seeded_settings", [&](object_checker& fields) {
        detail::read_seeded_settings(fields, settings);
    });
    if (!status.ok()) {
        return status;
    }
    return settings;
}

absl::StatusOr<seeded_settings> load_seeded_settings(std::string_view path) {
    const auto text = read_text_file(path);
    if (!text.ok()) {
        return text.status();
    }
    return parse_seeded_settings(*text);
}

} // namespace hawthornstall::settings
