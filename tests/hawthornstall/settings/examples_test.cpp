#include "hawthornstall/settings/control_settings.hpp"
#include "hawthornstall/settings/entry_settings.hpp"
#include "hawthornstall/settings/service_document_json.hpp"
#include "hawthornstall/settings/text_file.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <filesystem>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::settings {
namespace {

struct deployment_case {
    std::string_view folder;
    std::string_view service;
};

constexpr std::array deployments{deployment_case{"tombola", "draws"},
                                 deployment_case{"fraser", "routes"}};

std::filesystem::path folder_of(const deployment_case& deployment) {
    return std::filesystem::path{HAWTHORNSTALL_EXAMPLES} / deployment.folder;
}

/// Settings files of the deployment whose names begin with `prefix`.
std::vector<std::string> files_of(const deployment_case& deployment, std::string_view prefix) {
    std::vector<std::string> files;
    for (const auto& entry : std::filesystem::directory_iterator{folder_of(deployment)}) {
        if (entry.path().filename().string().starts_with(prefix)) {
            files.push_back(entry.path().string());
        }
    }
    return files;
}

std::vector<entry_settings> load_entry_hosts(const deployment_case& deployment) {
    std::vector<entry_settings> hosts;
    for (const auto& file : files_of(deployment, "entry-")) {
        CAPTURE(file);
        const auto settings = load_entry_settings(file);
        REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
        hosts.push_back(*settings);
    }
    return hosts;
}

/// Entry with which every other host must list `host` among its peers.
entry_peer as_peer(const entry_settings& host) {
    return {.host = {host.name, host.peer_address}, .zone = host.zone, .weight = host.weight};
}

// Guards against example settings whose lists of peers differ, so that hosts compute different
// owners for the same service.
TEST_CASE("the entry hosts of an example list each other consistently") {
    for (const auto& deployment : deployments) {
        CAPTURE(deployment.folder);
        const auto hosts = load_entry_hosts(deployment);
        CHECK(hosts.size() == 7);
        std::set<std::string> zones;
        for (const auto& host : hosts) {
            zones.insert(host.zone);
            CHECK(host.peers.size() == hosts.size() - 1);
            CHECK_FALSE(host.credentials.empty());
            for (const auto& other : hosts) {
                const bool is_listed =
                    std::ranges::find(host.peers, as_peer(other)) != host.peers.end();
                CHECK(is_listed == (other.name != host.name));
            }
        }
        CHECK(zones.size() == 3);
    }
}

// Guards against a zone that has no quorum of replicas while it is disconnected from other zones.
TEST_CASE("the hosts of a zone list the same replicas and most of them are in the zone") {
    for (const auto& deployment : deployments) {
        CAPTURE(deployment.folder);
        const auto hosts = load_entry_hosts(deployment);
        std::map<std::string, std::vector<std::string>> replicas;
        for (const auto& host : hosts) {
            CAPTURE(host.name);
            const auto& names =
                replicas.try_emplace(host.zone, host.journal_replicas).first->second;
            CHECK(names == host.journal_replicas);
            CHECK(names.size() == 3);
            CHECK(std::ranges::count_if(hosts, [&](const auto& other) {
                      return other.zone == host.zone &&
                             std::ranges::find(names, other.name) != names.end();
                  }) >= 2);
        }
    }
}

// Guards against entry hosts that are configured with a wrong address of a control host, and the
// other way round.
TEST_CASE("the control hosts and entry hosts of an example list each other consistently") {
    for (const auto& deployment : deployments) {
        CAPTURE(deployment.folder);
        const auto entry_hosts = load_entry_hosts(deployment);
        const auto files = files_of(deployment, "control-");
        CHECK(files.size() == 3);
        for (const auto& file : files) {
            CAPTURE(file);
            const auto settings = load_control_settings(file);
            REQUIRE_MESSAGE(settings.ok(), settings.status().ToString());
            CHECK(settings->voters == entry_hosts.front().control_hosts);
            const host_entry own{settings->name, settings->peer_address};
            CHECK(std::ranges::find(settings->voters, own) != settings->voters.end());
            CHECK(settings->entry_hosts.size() == entry_hosts.size());
            for (const auto& host : entry_hosts) {
                CHECK(host.control_hosts == settings->voters);
                const host_entry listed{host.name, host.peer_address};
                CHECK(std::ranges::find(settings->entry_hosts, listed) !=
                      settings->entry_hosts.end());
            }
        }
    }
}

// Guards against an example document that the system refuses.
TEST_CASE("the service documents of the examples are accepted") {
    for (const auto& deployment : deployments) {
        CAPTURE(deployment.folder);
        const auto path =
            folder_of(deployment) / "services" / (std::string{deployment.service} + ".json");
        const auto text = read_text_file(path.string());
        REQUIRE(text.ok());
        const auto document = parse_service_document(*text);
        REQUIRE_MESSAGE(document.ok(), document.status().ToString());
        CHECK(document->service == deployment.service);
    }
}

} // namespace
} // namespace hawthornstall::settings
