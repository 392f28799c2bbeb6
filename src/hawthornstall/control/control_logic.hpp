#pragma once

/// Loop task of a control host. It owns the links to other hosts, the encoding of messages,
/// the timer and the data folder.

#include "hawthornstall/control/control_service.hpp"
#include "hawthornstall/control/file_storage.hpp"
#include "hawthornstall/discovery/announcement_relay.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/runtime/mailbox.hpp"
#include "hawthornstall/status/status_query.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hawthornstall::control {

/// Startup options of a control host.
struct control_options {
    net::peer_links::identity self;
    std::vector<net::peer_endpoint> control_hosts; ///< The other control hosts.
    std::vector<net::peer_endpoint> entry_hosts;
    consensus_settings consensus;
    std::string data_folder;
    /// Suffix ":port" that identifies the names of control hosts. Empty when all hosts are listed
    /// above.
    std::string control_port_suffix;
    std::vector<std::string> zones; ///< Availability zones of the deployment, for operators.
};

/// Request of the gateway to adopt a numbered configuration.
struct local_config_put {
    std::uint64_t number = 0;
    numbered_config config;
};

/// Request of the gateway to drain a zone or to end its drain.
struct local_zone_drain_put {
    std::uint64_t number = 0;
    zone_drain_order order;
};

/// Request of the gateway for the current numbered configuration.
struct local_config_read {
    std::uint64_t number = 0;
};

/// A target announced itself to this host.
struct local_announcement {
    discovery::target_record record;
};

/// A target told this host that it is shutting down.
struct local_departure {
    std::string target;
    std::uint64_t incarnation = 0; ///< 0 if unknown.
};

/// The control hosts named by changed settings.
struct control_hosts_changed {
    std::vector<std::string> hosts;
};

/// Reply to local_config_put and local_zone_drain_put; without an answer the outcome is unknown.
struct local_put_result {
    std::uint64_t number = 0;
    std::optional<edit_answer> answer{};
};

/// Reply to local_config_read; without a configuration when no quorum confirmed it.
struct local_read_result {
    std::uint64_t number = 0;
    std::optional<numbered_config> config{};
};

/// The availability zones named by changed settings.
struct zones_changed {
    std::vector<std::string> zones;
};

/// Message to the gateway, the task that serves operators and targets.
using gateway_message = std::variant<local_put_result, local_read_result, zones_changed>;

/// Event of control_logic that is logged and counted.
struct control_event {
    enum class kind : std::uint8_t {
        folder_damaged,   ///< `detail` tells what is damaged, `subject` where it is kept.
        log_truncated,    ///< `detail` tells which tail of the log was torn.
        log_complete,     ///< The entries that damage had destroyed were received again.
        role_changed,     ///< `subject` is the new role, `detail` tells of the contact to a leader.
        members_changed,  ///< `detail` lists the voters and the learners of the log.
        peer_reachable,   ///< `subject` is the peer.
        peer_unreachable, ///< `subject` is the peer, `detail` the condition of its link.
        storage_failed,   ///< The replica is unavailable. `detail` describes the error.
        storage_reopened, ///< The replica is available again.
        storage_slow,     ///< `detail` tells for how long a synced write blocked this task.
    };
    kind what = kind::storage_failed;
    std::string detail;
    std::string subject{};
};

/// Runs control_service on a loop task. While the storage fails, the replica is unavailable,
/// but announcements of targets are still relayed.
class control_logic {
public:
    using message =
        std::variant<local_config_put, local_config_read, local_announcement, local_departure,
                     control_hosts_changed, status::status_query, local_zone_drain_put>;

    /// Receives events on this task's thread.
    using observer = std::function<void(const control_event&)>;

    control_logic(control_options options, observer report,
                  runtime::address<gateway_message> gateway = nullptr);

    /// Opens the data folder and the links. Throws std::runtime_error when either fails.
    void attach(runtime::event_loop& loop);
    void handle(message input);

private:
    void process(local_config_put input);
    void process(local_zone_drain_put input);
    void process(const local_config_read& input);
    void process(const local_announcement& input);
    void process(const local_departure& input);
    void process(const control_hosts_changed& input);
    void process(const status::status_query& query);
    [[nodiscard]] status::status_rows rows_of(status::status_kind kind) const;
    [[nodiscard]] std::vector<status::host_row> host_rows() const;
    [[nodiscard]] std::vector<status::config_row> config_rows() const;
    [[nodiscard]] std::vector<status::zone_row> zone_rows() const;
    void send_to_gateway(control_to_entry message);
    void send_to_control(const std::string& host, const control_to_control& message);
    [[nodiscard]] bool is_control_host(std::string_view name) const;
    [[nodiscard]] bool is_entry_host(std::string_view name) const;
    [[nodiscard]] absl::Status open_storage();
    void close_storage(const absl::Status& error);
    void retry_storage(core::time_ms now);
    void relay(core::time_ms now);
    void report_role(member_role role);
    [[nodiscard]] std::string describe_leader_contact() const;
    void report_members(const member_set& members);
    void report_complete_log();
    void receive(std::string_view peer, std::string_view body);
    void update_reachability(std::string_view peer, bool reachable);
    void tick();
    void schedule_finish();
    void finish();

    control_options options_;
    observer report_;
    runtime::address<gateway_message> gateway_; ///< Null when this host has no gateway.
    std::set<std::string, std::less<>> reachable_control_hosts_;
    runtime::event_loop* loop_ = nullptr;
    core::time_ms started_{};
    std::unique_ptr<net::peer_links> links_;
    discovery::announcement_relay relay_;
    std::unique_ptr<control_service<file_storage>> service_; ///< Null while the storage fails.
    core::time_ms storage_retry_at_{};
    member_role last_role_ = member_role::follower;
    member_set last_members_;       ///< As last reported.
    bool has_lost_entries_ = false; ///< As last reported.
    bool finish_scheduled_ = false;
    runtime::event_handle tick_event_;
    runtime::event_handle finish_event_;
};

} // namespace hawthornstall::control
