#include "hawthornstall/runs/state_rows.hpp"

#include <algorithm>
#include <string>
#include <string_view>

namespace hawthornstall::runs {
namespace detail {

status::host_row make_host_row(const host_presence& host, const std::string& scheduler) {
    return {.name = host.host.name,
            .zone = host.host.zone,
            .reachable = true,
            .draining = host.leaving,
            .role = host.host.name == scheduler ? "scheduler" : "",
            .held_targets = host.held_targets.size()};
}

/// Name of another host that has announced that it holds the target; empty if there is none.
std::string holder_of(std::string_view target, const host_membership& hosts) {
    for (const auto& [name, host] : hosts.others()) {
        if (std::ranges::find(host.held_targets, target) != host.held_targets.end()) {
            return name;
        }
    }
    return {};
}

} // namespace detail

std::vector<status::host_row> host_rows(const host_membership& hosts) {
    const auto scheduler = hosts.scheduler().value_or(std::string{});
    std::vector<status::host_row> rows{detail::make_host_row(hosts.self(), scheduler)};
    for (const auto& [name, host] : hosts.others()) {
        rows.push_back(detail::make_host_row(host, scheduler));
    }
    return rows;
}

std::vector<status::target_row> target_rows(const discovery::target_directory& directory,
                                            const target_holder& holder,
                                            const host_membership& hosts) {
    std::vector<status::target_row> rows;
    for (const auto& record : directory.targets()) {
        auto& row = rows.emplace_back();
        row.name = record.id;
        row.zone = record.zone;
        row.address = record.address;
        row.service = record.service;
        row.capacity = record.capacity;
        if (const auto* const session = holder.find(record.id)) {
            row.holder = hosts.self().host.name;
            row.token = session->token();
            row.runs = session->open_runs();
            const bool drained = holder.is_drained(record);
            row.available = session->usable() && !drained;
            row.reason =
                drained ? "its availability zone is drained" : session->reason_not_usable();
        } else {
            row.holder = detail::holder_of(record.id, hosts);
            row.available = !row.holder.empty() && !record.draining;
            if (record.draining) {
                row.reason = "it is draining";
            } else if (row.holder.empty()) {
                row.reason = "no host holds it";
            }
        }
    }
    return rows;
}

} // namespace hawthornstall::runs
