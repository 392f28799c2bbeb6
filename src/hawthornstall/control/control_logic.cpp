#include "hawthornstall/control/control_logic.hpp"

#include "hawthornstall/control/control_message_layouts.hpp"
#include "hawthornstall/control/zone_rows.hpp"
#include "hawthornstall/core/error.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <algorithm>
#include <random>
#include <stdexcept>
#include <utility>

namespace hawthornstall::control {
namespace detail {

/// Interval of tick(): a quarter of the default heartbeat interval, so that a heartbeat waits for
/// the timer at most that long.
constexpr core::duration_ms tick_interval{50};

/// Pause between two attempts to open the storage after it has failed, for example on a full disk.
constexpr core::duration_ms storage_retry_interval{1'000};

/// A synced write that takes this long or longer is logged. It is the default heartbeat interval:
/// such a write blocks the task, and delays this host's heartbeats, for at least one interval.
constexpr core::duration_ms slow_write_time{200};

std::uint64_t random_nonzero() {
    std::random_device source;
    std::uniform_int_distribution<std::uint64_t> number{1};
    return number(source);
}

std::string names_of(std::span<const member_id> members) {
    std::string names;
    for (const auto& member : members) {
        names += names.empty() ? "" : " ";
        names += member.host;
    }
    return names;
}

std::string_view role_name(member_role role) {
    switch (role) {
    case member_role::leader:
        return "leader";
    case member_role::candidate:
        return "candidate";
    case member_role::pre_candidate:
        return "pre_candidate";
    case member_role::follower:
        break;
    }
    return "follower";
}

/// Rows without lease holders, which only entry hosts know.
std::vector<status::target_row> target_rows(const discovery::target_directory& directory) {
    std::vector<status::target_row> rows;
    for (const auto& record : directory.targets()) {
        rows.push_back({.name = record.id,
                        .zone = record.zone,
                        .address = record.address,
                        .service = record.service,
                        .capacity = record.capacity,
                        .available = !record.draining,
                        .reason = record.draining ? "it is draining" : ""});
    }
    return rows;
}

bool contains_name(std::span<const net::peer_endpoint> peers, std::string_view name) {
    return std::ranges::find(peers, name, &net::peer_endpoint::name) != peers.end();
}

} // namespace detail

control_logic::control_logic(control_options options, observer report,
                             runtime::address<gateway_message> gateway)
    : options_(std::move(options)), report_(std::move(report)), gateway_(std::move(gateway)) {}

void control_logic::handle(message input) {
    std::visit([this](auto& content) { process(std::move(content)); }, input);
    schedule_finish();
}

void control_logic::process(local_config_put input) {
    if (service_ == nullptr) {
        send_to_gateway(edit_reply{.number = input.number, .answer = std::nullopt});
        return;
    }
    input.config.host = options_.self.name;
    service_->receive_from_entry(
        options_.self.name,
        numbered_config_put{.number = input.number, .config = std::move(input.config)},
        core::ms_clock::now());
}

void control_logic::process(local_zone_drain_put input) {
    if (service_ == nullptr) {
        send_to_gateway(edit_reply{.number = input.number, .answer = std::nullopt});
        return;
    }
    input.order.host = options_.self.name;
    service_->receive_from_entry(
        options_.self.name, zone_drain_put{.number = input.number, .order = std::move(input.order)},
        core::ms_clock::now());
}

void control_logic::process(const local_config_read& input) {
    if (service_ == nullptr) {
        send_to_gateway(numbered_config_reply{.number = input.number, .config = std::nullopt});
        return;
    }
    service_->receive_from_entry(options_.self.name, numbered_config_read{.number = input.number},
                                 core::ms_clock::now());
}

void control_logic::process(const local_announcement& input) {
    relay_.announce(input.record, core::ms_clock::now());
}

void control_logic::process(const local_departure& input) {
    relay_.leave(input.target, input.incarnation, core::ms_clock::now());
}

void control_logic::process(const control_hosts_changed& input) {
    for (const auto& host : input.hosts) {
        links_->add({.name = host, .address = host});
    }
}

void control_logic::process(const status::status_query& query) {
    query.reply({query.number, rows_of(query.kind)});
}

status::status_rows control_logic::rows_of(status::status_kind kind) const {
    switch (kind) {
    case status::status_kind::hosts:
        return host_rows();
    case status::status_kind::targets:
        return detail::target_rows(relay_.directory());
    case status::status_kind::rollout:
        return config_rows();
    case status::status_kind::zones:
        return zone_rows();
    case status::status_kind::jobs:
        break;
    }
    return std::vector<status::job_row>{};
}

std::vector<status::host_row> control_logic::host_rows() const {
    std::vector<status::host_row> rows;
    rows.push_back({.name = options_.self.name,
                    .reachable = true,
                    .role = std::string{detail::role_name(last_role_)}});
    const auto leader = service_ ? service_->replica().node().current_election().leader()
                                 : std::optional<member_id>{};
    for (const auto& name : reachable_control_hosts_) {
        const bool leads = leader && leader->host == name;
        rows.push_back({.name = name, .reachable = true, .role = leads ? "leader" : ""});
    }
    for (const auto& [name, host] : relay_.hosts()) {
        rows.push_back({.name = name, .zone = host.zone, .reachable = true});
    }
    return rows;
}

/// Empty while the storage fails.
std::vector<status::config_row> control_logic::config_rows() const {
    if (service_ == nullptr) {
        return {};
    }
    const auto& store = service_->replica().store();
    return {{.name = options_.self.name,
             .version = store.numbered().version,
             .revision = store.revision()}};
}

std::vector<status::zone_row> control_logic::zone_rows() const {
    return service_ == nullptr
               ? std::vector<status::zone_row>{}
               : control::zone_rows(options_.zones, service_->replica().store().drains());
}

/// Passes replies to this host's own requests to the gateway, which made them.
void control_logic::send_to_gateway(control_to_entry message) {
    if (gateway_ == nullptr) {
        return;
    }
    // If the mailbox is full, the gateway answers the request when its time limit expires.
    if (const auto* const put = std::get_if<edit_reply>(&message)) {
        (void)gateway_->post(local_put_result{put->number, put->answer});
    } else if (auto* const read = std::get_if<numbered_config_reply>(&message)) {
        (void)gateway_->post(local_read_result{read->number, std::move(read->config)});
    }
}

void control_logic::send_to_control(const std::string& host, const control_to_control& message) {
    if (!options_.control_port_suffix.empty()) {
        links_->add({.name = host, .address = host});
    }
    // A message to an unreachable host is dropped: senders resend on a timer.
    (void)links_->send(host, wire::encode(message));
}

/// Relays announcements of targets to entry hosts, and informs entry hosts of each other.
void control_logic::relay(core::time_ms now) {
    std::vector<std::string> hosts{reachable_control_hosts_.begin(),
                                   reachable_control_hosts_.end()};
    hosts.push_back(options_.self.name);
    for (const auto& message : relay_.tick(now, hosts)) {
        const auto content =
            std::visit([](const auto& part) -> control_to_entry { return part; }, message.content);
        (void)links_->send(message.host, wire::encode(content));
    }
}

bool control_logic::is_control_host(std::string_view name) const {
    return options_.control_port_suffix.empty()
               ? detail::contains_name(options_.control_hosts, name)
               : name.ends_with(options_.control_port_suffix);
}

bool control_logic::is_entry_host(std::string_view name) const {
    return options_.control_port_suffix.empty() ? detail::contains_name(options_.entry_hosts, name)
                                                : !is_control_host(name);
}

void control_logic::attach(runtime::event_loop& loop) {
    loop_ = &loop;
    started_ = core::ms_clock::now();
    if (const auto status = open_storage(); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
    links_ = std::make_unique<net::peer_links>(
        loop, options_.self,
        [this](std::string_view peer, std::uint64_t /*incarnation*/, std::string_view body) {
            receive(peer, body);
        },
        [this](std::string_view peer, net::link_change change) {
            net::report_reachability(change,
                                     [&](bool reachable) { update_reachability(peer, reachable); });
        });
    auto peers = options_.control_hosts;
    peers.insert(peers.end(), options_.entry_hosts.begin(), options_.entry_hosts.end());
    if (const auto status = links_->start(peers); !status.ok()) {
        throw std::runtime_error{core::describe(status)};
    }
    tick_event_ = loop.every(detail::tick_interval, [this] { tick(); });
}

absl::Status control_logic::open_storage() {
    auto opened = open_or_replace(options_.data_folder, options_.self.name,
                                  detail::random_nonzero(), core::ms_clock::wall_now());
    if (!opened.ok()) {
        return opened.status();
    }
    if (!opened->damage.empty()) {
        report_({control_event::kind::folder_damaged, opened->damage, opened->damaged_folder});
    }
    if (!opened->truncation.empty()) {
        report_({control_event::kind::log_truncated, opened->truncation});
    }
    has_lost_entries_ = opened->storage.has_lost_entries();
    auto replica =
        config_replica<file_storage>::open(std::move(opened->storage), options_.consensus,
                                           detail::random_nonzero(), core::ms_clock::now());
    if (!replica.ok()) {
        return replica.status();
    }
    service_ = std::make_unique<control_service<file_storage>>(std::move(*replica));
    return absl::OkStatus();
}

/// After an error it is unknown what is durable, so this host neither votes nor acknowledges
/// entries until it has read its files again.
void control_logic::close_storage(const absl::Status& error) {
    service_.reset();
    storage_retry_at_ = core::ms_clock::now() + detail::storage_retry_interval;
    report_role(member_role::follower);
    report_({control_event::kind::storage_failed, core::describe(error)});
}

void control_logic::retry_storage(core::time_ms now) {
    if (now < storage_retry_at_) {
        return;
    }
    if (const auto status = open_storage(); !status.ok()) {
        close_storage(status);
    } else {
        report_({control_event::kind::storage_reopened, options_.data_folder});
    }
}

void control_logic::report_role(member_role role) {
    if (std::exchange(last_role_, role) != role) {
        report_({.what = control_event::kind::role_changed,
                 .detail = describe_leader_contact(),
                 .subject = std::string{detail::role_name(role)}});
    }
}

/// How long this process has heard no leader, and how long it runs: an election soon after a start
/// points to a process that has ended, a long silence to a leader that is busy or cut off.
std::string control_logic::describe_leader_contact() const {
    const auto now = core::ms_clock::now();
    auto text = "running for " + std::to_string((now - started_).count()) + " ms";
    if (service_ != nullptr) {
        const auto& election = service_->replica().node().current_election();
        text += ", term " + std::to_string(election.term()) + ", no leader for " +
                std::to_string((now - election.last_leader_contact()).count()) + " ms";
    }
    return text;
}

void control_logic::report_members(const member_set& members) {
    if (members != last_members_) {
        last_members_ = members;
        report_({control_event::kind::members_changed,
                 "voters " + detail::names_of(members.voters) + ", learners " +
                     detail::names_of(members.learners)});
    }
}

void control_logic::report_complete_log() {
    if (has_lost_entries_ && !service_->replica().node().has_lost_entries()) {
        has_lost_entries_ = false;
        report_({control_event::kind::log_complete, {}});
    }
}

void control_logic::receive(std::string_view peer, std::string_view body) {
    const auto now = core::ms_clock::now();
    // Messages that cannot be decoded are dropped: their senders resend on a timer.
    if (is_control_host(peer)) {
        if (auto message = wire::decode<control_to_control>(body); message.ok() && service_) {
            service_->receive_from_control(peer, std::move(*message), now);
        }
    } else if (is_entry_host(peer)) {
        if (auto message = wire::decode<entry_to_control>(body); message.ok()) {
            if (const auto* const hello = std::get_if<discovery::host_hello>(&*message)) {
                relay_.hello(hello->host);
            }
            if (service_ != nullptr) {
                service_->receive_from_entry(peer, std::move(*message), now);
            }
        }
    }
    schedule_finish();
}

void control_logic::update_reachability(std::string_view peer, bool reachable) {
    using kind = control_event::kind;
    report_({.what = reachable ? kind::peer_reachable : kind::peer_unreachable,
             .detail = net::describe(links_->condition(peer)),
             .subject = std::string{peer}});
    if (is_control_host(peer)) {
        if (reachable) {
            reachable_control_hosts_.emplace(peer);
        } else {
            reachable_control_hosts_.erase(std::string{peer});
        }
    } else if (!reachable) {
        relay_.unreachable(peer);
        if (service_ != nullptr) {
            service_->entry_unreachable(peer);
        }
    }
}

void control_logic::tick() {
    const auto now = core::ms_clock::now();
    if (service_ == nullptr) {
        retry_storage(now);
    } else {
        service_->tick(now);
        finish();
    }
    relay(now);
}

/// Defers finish(), so that all messages read in one iteration of the event loop share one synced
/// write.
void control_logic::schedule_finish() {
    if (!std::exchange(finish_scheduled_, true)) {
        finish_event_ = loop_->after(core::duration_ms{0}, [this] { finish(); });
    }
}

void control_logic::finish() {
    finish_scheduled_ = false;
    if (service_ == nullptr) {
        return;
    }
    const auto started = core::ms_clock::now();
    auto output = service_->finish(started);
    if (!output.ok()) {
        close_storage(output.status());
        return;
    }
    if (const auto took = core::ms_clock::now() - started; took >= detail::slow_write_time) {
        report_({control_event::kind::storage_slow,
                 "a synced write took " + std::to_string(took.count()) + " ms"});
    }
    for (const auto& [host, message] : output->to_control) {
        send_to_control(host, message);
    }
    for (auto& [host, message] : output->to_entry) {
        if (host == options_.self.name) {
            send_to_gateway(std::move(message));
        } else {
            (void)links_->send(host, wire::encode(message));
        }
    }
    report_role(service_->replica().node().current_election().role());
    report_members(service_->replica().node().members());
    report_complete_log();
}

} // namespace hawthornstall::control
