#include "hawthornstall/settings/control_settings.hpp"

#include "hawthornstall/settings/json_document.hpp"
#include "hawthornstall/settings/text_file.hpp"

namespace hawthornstall::settings {
namespace detail {

using enum presence;

/// A system has at most 9 control hosts.
constexpr list_range voter_count_range{1, 9};
constexpr list_range entry_host_count_range{1, max_hosts};

/// Checks that a voter with the name of this host also has its address and the other way round, so
/// that no host votes under the name or the address of another one.
void check_own_entry(problem_list& problems, const control_settings& settings) {
    for (const auto& voter : settings.voters) {
        const bool same_name = voter.name == settings.name;
        const bool same_address = voter.peer_address == settings.peer_address;
        if (same_name != same_address) {
            problems.add_conflict({"$.voters", "$.name", "$.peer_address"},
                                  "an entry must have both or neither of $.name and $.peer_address "
                                  "(entry " +
                                      voter.name + ")");
        }
    }
}

void read_control_settings(object_checker& fields, control_settings& settings) {
    fields.text("name", required, name_rule, settings.name);
    read_address(fields, "peer_address", required, settings.peer_address);
    settings.voters = read_hosts(fields, "voters", required, voter_count_range);
    fields.text("data_folder", required, path_rule, settings.data_folder);
    settings.entry_hosts = read_hosts(fields, "entry_hosts", required, entry_host_count_range);
    read_optional_address(fields, "metrics_address", settings.metrics_address);
    read_log_level(fields, settings.level);
    check_own_entry(fields.problems(), settings);
}

} // namespace detail

absl::StatusOr<control_settings> parse_control_settings(std::string_view text) {
    control_settings settings;
    const auto status = check_document(text, "parse_control_settings", [&](object_checker& fields) {
        detail::read_control_settings(fields, settings);
    });
    if (!status.ok()) {
        return status;
    }
    return settings;
}

absl::StatusOr<control_settings> load_control_settings(std::string_view path) {
    const auto text = read_text_file(path);
    if (!text.ok()) {
        return text.status();
    }
    return parse_control_settings(*text);
}

} // namespace hawthornstall::settings
