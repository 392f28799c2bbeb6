#include "hawthornstall/settings/host_entries.hpp"

#include <algorithm>
#include <utility>

namespace hawthornstall::settings {

void read_address(object_checker& fields, std::string_view key, presence need,
                  socket_address& address) {
    std::string text;
    fields.text(key, need, address_rule, text);
    if (const auto parsed = parse_socket_address(text)) {
        address = *parsed;
    }
}

void read_optional_address(object_checker& fields, std::string_view key,
                           std::optional<socket_address>& address) {
    if (fields.contains(key)) {
        address.emplace();
        read_address(fields, key, presence::required, *address);
    }
}

void read_log_level(object_checker& fields, core::log_level& level) {
    fields.choice("log_level", presence::optional, core::log_level_names, level);
}

std::vector<host_entry> read_hosts(object_checker& fields, std::string_view key, presence need,
                                   list_range range) {
    std::vector<host_entry> hosts;
    fields.objects(key, need, range, [&](object_checker& entry) {
        host_entry host;
        entry.text("name", presence::required, name_rule, host.name);
        read_address(entry, "peer_address", presence::required, host.peer_address);
        check_distinct(entry, host, hosts);
        hosts.push_back(std::move(host));
    });
    return hosts;
}

void check_distinct(object_checker& entry, const host_entry& host,
                    std::span<const host_entry> earlier) {
    if (std::ranges::find(earlier, host.name, &host_entry::name) != earlier.end()) {
        entry.problems().add_conflict({entry.path_of("name")}, "name of an earlier entry");
    }
    if (std::ranges::find(earlier, host.peer_address, &host_entry::peer_address) != earlier.end()) {
        entry.problems().add_conflict({entry.path_of("peer_address")},
                                      "address of an earlier entry");
    }
}

} // namespace hawthornstall::settings
