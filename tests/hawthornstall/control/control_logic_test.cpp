#include "hawthornstall/control/control_logic.hpp"
#include "hawthornstall/control/entry_message_layouts.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/control/scratch_folder.hpp"
#include "hawthornstall/wire/codec.hpp"
#include "support/file_size_limit.hpp"
#include "support/loopback.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

constexpr core::duration_ms time_limit{60'000};
constexpr core::duration_ms resend_interval{300};

/// Answer to the edit and the events of one run of the cluster.
struct cluster_result {
    std::optional<edit_answer> answer;
    int damaged_folders = 0;
    int failures = 0;
    std::map<std::string, bool> knows_three_voters; ///< By host.

    [[nodiscard]] bool all_vote() const {
        return knows_three_voters.size() == 3 &&
               std::ranges::all_of(knows_three_voters,
                                   [](const auto& host) { return host.second; });
    }
};

control_options make_options(const std::string& parent, const net::peer_endpoint& host,
                             std::span<const net::peer_endpoint> hosts,
                             const net::peer_endpoint& entry) {
    control_options options;
    options.self = {.name = host.name, .incarnation = 1, .listen_address = host.address};
    for (const auto& other : hosts) {
        options.consensus.hosts.push_back(other.name);
        if (other.name != host.name) {
            options.control_hosts.push_back(other);
        }
    }
    options.entry_hosts = {entry};
    options.data_folder = parent + '/' + host.name;
    return options;
}

/// Whether `event` lists three voters and no learner.
bool reports_three_voters(const control_event& event) {
    constexpr std::string_view all_in_any_order = "voters control-0 control-1 control-2, learners ";
    return event.detail.size() == all_in_any_order.size() && event.detail.ends_with("learners ");
}

void record(const std::string& host, const control_event& event, cluster_result& result) {
    if (event.what == control_event::kind::members_changed) {
        result.knows_three_voters[host] = reports_three_voters(event);
    }
    result.damaged_folders += event.what == control_event::kind::folder_damaged;
    result.failures += event.what == control_event::kind::storage_failed;
}

/// Starts three control hosts over the folders below `parent`, sends `edit` until it is answered
/// and all three know that all of them vote, and stops the hosts. With fewer voters the loss of a
/// folder would leave no majority.
cluster_result run_cluster(const std::string& parent, const edit_command& edit) {
    cluster_result result;
    runtime::event_loop loop;
    const auto addresses = testing::free_addresses<4>();
    const net::peer_endpoint entry{"entry-1", addresses[3]};
    std::vector<net::peer_endpoint> hosts;
    for (std::size_t index = 0; index < 3; ++index) {
        hosts.push_back({"control-" + std::to_string(index), addresses.at(index)});
    }
    std::vector<std::unique_ptr<control_logic>> running;
    for (const auto& host : hosts) {
        running.push_back(std::make_unique<control_logic>(
            make_options(parent, host, hosts, entry),
            [&result, name = host.name](const control_event& event) {
                record(name, event, result);
            }));
        running.back()->attach(loop);
    }
    const auto receive = [&](std::string_view /*host*/, std::uint64_t /*incarnation*/,
                             std::string_view body) {
        const auto message = wire::decode<control_to_entry>(body);
        REQUIRE(message.ok());
        const auto* const reply = std::get_if<edit_reply>(&*message);
        if (reply != nullptr && reply->answer) {
            result.answer = reply->answer;
            if (result.all_vote()) {
                loop.stop();
            }
        }
    };
    net::peer_links links{loop,
                          {.name = entry.name, .incarnation = 1, .listen_address = entry.address},
                          receive,
                          [](std::string_view /*host*/, net::link_change /*change*/) {
                          }};
    REQUIRE(links.start(hosts).ok());
    std::size_t attempt = 0;
    const auto resend = loop.every(resend_interval, [&] {
        const auto body = wire::encode(entry_to_control{edit_request{++attempt, edit}});
        (void)links.send(hosts.at(attempt % hosts.size()).name, body);
    });
    const auto limit = loop.after(time_limit, [&loop] { loop.stop(); });
    loop.run();
    return result;
}

struct restart_case {
    std::string_view name;
    std::string damaged_host; ///< Host whose folder is damaged before the start, or empty.
    std::string damaged_file;
    edit_command edit;
    edit_answer answer;
};

// Guards against edits that a restart of all control hosts loses or applies twice, also when the
// files of one host are damaged, and against damage that is not reported. Uses real files and
// links.
TEST_CASE("edits survive a restart of all control hosts") {
    const scratch_folder parent;
    const std::array cases{
        restart_case{"first start", "", "", make_edit("first", 0), {edit_result::accepted, 1}},
        restart_case{
            "resent after a restart", "", "", make_edit("first", 0), {edit_result::accepted, 1}},
        restart_case{"one state damaged",
                     "control-1",
                     "state",
                     make_edit("next", 1),
                     {edit_result::accepted, 2}},
        restart_case{"one log damaged",
                     "control-2",
                     "log",
                     make_edit("third", 2),
                     {edit_result::accepted, 3}},
        restart_case{"one snapshot damaged",
                     "control-0",
                     "snapshot",
                     make_edit("fourth", 3),
                     {edit_result::accepted, 4}},
        restart_case{"edit with an outdated base version",
                     "",
                     "",
                     make_edit("late", 1),
                     {edit_result::version_conflict, 4}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        if (!test.damaged_host.empty()) {
            write_all(parent.path() + '/' + test.damaged_host + "/config/" + test.damaged_file,
                      "x");
        }
        const auto result = run_cluster(parent.path(), test.edit);
        CHECK(result.answer == test.answer);
        CHECK(result.damaged_folders == (test.damaged_host.empty() ? 0 : 1));
        CHECK(result.failures == 0);
    }
}

/// One control host whose disk is full until it has relayed the announcement of a target, and an
/// entry host that receives its messages.
class full_disk_fixture {
public:
    explicit full_disk_fixture(const std::string& parent)
        : logic_(make_options(parent, host_, std::span{&host_, 1}, entry_),
                 [this](const control_event& event) {
                     failures += event.what == control_event::kind::storage_failed;
                     reopened |= event.what == control_event::kind::storage_reopened;
                 }),
          links_(
              loop_, {.name = entry_.name, .incarnation = 1, .listen_address = entry_.address},
              [this](std::string_view /*host*/, std::uint64_t /*incarnation*/,
                     std::string_view body) { receive(body); },
              [](std::string_view /*host*/, net::link_change /*change*/) {}) {}

    void run() {
        logic_.attach(loop_);
        REQUIRE(links_.start({&host_, 1}).ok());
        const auto resend = loop_.every(resend_interval, [this] { send_all(); });
        const auto fill = loop_.after(core::duration_ms{0}, [this] { full_disk_.emplace(); });
        const auto limit = loop_.after(time_limit, [this] { loop_.stop(); });
        loop_.run();
    }

    bool target_relayed = false; ///< While the disk was full.
    int failures = 0;
    bool reopened = false;
    std::optional<edit_answer> answer;

private:
    void receive(std::string_view body) {
        const auto message = wire::decode<control_to_entry>(body);
        REQUIRE(message.ok());
        if (const auto* const updates = std::get_if<discovery::target_updates>(&*message)) {
            target_relayed |= !updates->targets.empty() && failures > 0;
        } else if (const auto* const reply = std::get_if<edit_reply>(&*message)) {
            answer = reply->answer;
        }
        if (target_relayed) {
            full_disk_.reset();
        }
        if (reopened && answer) {
            loop_.stop();
        }
    }

    void send_all() {
        send(discovery::host_hello{.host = {.name = entry_.name}});
        send(edit_request{1, make_edit("first", 0)});
        if (failures > 0 && !target_relayed) {
            logic_.handle(local_announcement{{.id = "target-1", .incarnation = 1, .sequence = 1}});
        }
    }

    void send(const entry_to_control& message) {
        // The messages are repeated, so one that cannot be queued may be dropped.
        (void)links_.send(host_.name, wire::encode(message));
    }

    std::array<std::string, 2> addresses_ = testing::free_addresses<2>();
    net::peer_endpoint host_{"control-0", addresses_[0]};
    net::peer_endpoint entry_{"entry-1", addresses_[1]};
    runtime::event_loop loop_;
    control_logic logic_;
    std::optional<testing::file_size_limit> full_disk_;
    net::peer_links links_;
};

// Guards against a control host that exits, or never recovers its replica, after its disk was full
// for a while, and against announcements of targets that are not relayed in the meantime.
TEST_CASE("a control host relays announcements while its disk is full, and recovers") {
    const scratch_folder parent;
    full_disk_fixture result{parent.path()};
    result.run();
    CHECK(result.failures > 0);
    CHECK(result.target_relayed);
    CHECK(result.reopened);
    CHECK(result.answer == edit_answer{edit_result::accepted, 1});
}

} // namespace
} // namespace hawthornstall::control
