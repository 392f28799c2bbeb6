#include "hawthornstall/settings/entry_settings.hpp"

#include "hawthornstall/settings/credentials_json.hpp"
#include "hawthornstall/settings/json_document.hpp"
#include "hawthornstall/settings/text_file.hpp"

#include <algorithm>

namespace hawthornstall::settings {
namespace detail {

using enum presence;

constexpr number_range http_thread_range{1, 64, "threads"};
constexpr number_range shutdown_grace_range{0, 600'000, "ms"};
constexpr list_range replica_count_range{1, 9};
constexpr list_range control_host_count_range{1, 9};
constexpr list_range peer_count_range{0, max_hosts};

void read_peers(object_checker& fields, entry_settings& settings) {
    std::vector<host_entry> hosts;
    fields.objects("peers", required, peer_count_range, [&](object_checker& entry) {
        auto& peer = settings.peers.emplace_back();
        entry.text("name", required, name_rule, peer.host.name);
        entry.text("zone", required, name_rule, peer.zone);
        entry.real("weight", optional, weight_range, peer.weight);
        read_address(entry, "peer_address", required, peer.host.peer_address);
        check_distinct(entry, peer.host, hosts);
        hosts.push_back(peer.host);
        if (peer.host.name == settings.name) {
            entry.problems().add_conflict({entry.path_of("name"), "$.name"},
                                          "must not name this host itself");
        }
        if (peer.host.peer_address == settings.peer_address) {
            entry.problems().add_conflict({entry.path_of("peer_address"), "$.peer_address"},
                                          "must not be the address of this host itself");
        }
    });
}

/// Checks that each replica is this host or a peer. A peer of another zone is allowed, because a
/// small zone may have too few entry hosts of its own.
void check_replicas(object_checker& fields, const entry_settings& settings) {
    const auto& names = settings.journal_replicas;
    const bool skip_check = names.empty() || fields.problems().count() > 0;
    for (std::size_t index = 0; !skip_check && index < names.size(); ++index) {
        const bool is_peer = std::ranges::any_of(
            settings.peers, [&](const auto& peer) { return peer.host.name == names[index]; });
        if (!is_peer && names[index] != settings.name) {
            fields.problems().add(child_path(fields.path_of("journal_replicas"), index),
                                  "must be $.name or the name of a peer");
        }
    }
}

void read_tokens(object_checker& fields, entry_settings& settings) {
    fields.text("tokens_file", optional, path_rule, settings.tokens_file);
    settings.credentials = read_credentials(fields, optional);
    if (fields.contains("tokens_file") == fields.contains("tokens")) {
        fields.problems().add("$.tokens",
                              "exactly one of \"tokens\" and \"tokens_file\" must be given");
    }
}

void read_entry_settings(object_checker& fields, entry_settings& settings) {
    fields.text("name", required, name_rule, settings.name);
    fields.text("zone", required, name_rule, settings.zone);
    fields.real("weight", optional, weight_range, settings.weight);
    read_address(fields, "http_address", required, settings.http_address);
    read_address(fields, "peer_address", required, settings.peer_address);
    fields.number("http_threads", optional, http_thread_range, settings.http_threads);
    read_peers(fields, settings);
    fields.texts("journal_replicas", required, replica_count_range, name_rule,
                 settings.journal_replicas);
    settings.control_hosts =
        read_hosts(fields, "control_hosts", required, control_host_count_range);
    read_tokens(fields, settings);
    std::string folder;
    fields.text("data_folder", optional, path_rule, folder);
    if (!folder.empty()) {
        settings.data_folder = folder;
    }
    read_log_level(fields, settings.level);
    fields.duration("shutdown_grace_ms", optional, shutdown_grace_range, settings.shutdown_grace);
    if (settings.http_address == settings.peer_address) {
        fields.problems().add_conflict({"$.peer_address", "$.http_address"},
                                       "must differ from $.http_address");
    }
    check_replicas(fields, settings);
}

} // namespace detail

absl::StatusOr<entry_settings> parse_entry_settings(std::string_view text) {
    entry_settings settings;
    const auto status = check_document(text, "parse_entry_settings", [&](object_checker& fields) {
        detail::read_entry_settings(fields, settings);
    });
    if (!status.ok()) {
        return status;
    }
    return settings;
}

absl::StatusOr<entry_settings> load_entry_settings(std::string_view path) {
    const auto text = read_text_file(path);
    if (!text.ok()) {
        return text.status();
    }
    auto settings = parse_entry_settings(*text);
    if (!settings.ok() || settings->tokens_file.empty()) {
        return settings;
    }
    const auto tokens = read_text_file(resolve_relative_to(path, settings->tokens_file));
    if (!tokens.ok()) {
        return tokens.status();
    }
    auto credentials = parse_credentials(*tokens);
    if (!credentials.ok()) {
        return credentials.status();
    }
    settings->credentials = *std::move(credentials);
    return settings;
}

} // namespace hawthornstall::settings
