#pragma once

/// Loop task of a control host: replicates the configuration log and publishes the documents.

#include "hawthornstall/control/config_replica.hpp"
#include "hawthornstall/control/file_storage.hpp"
#include "hawthornstall/control_host/control_messages.hpp"
#include "hawthornstall/control_host/edit_queue.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runtime/event_loop.hpp"
#include "hawthornstall/settings/control_settings.hpp"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace hawthornstall::control_host {

/// Owns the data folder, the replica and the links to control and entry hosts. The fsync of an
/// append happens on this task: nothing else waits for it but configuration.
class control_logic {
public:
    /// No other task sends messages to this one.
    struct message {};

    using replica = control::config_replica<control::file_storage>;

    /// `on_failure` is called with the reason when the data folder can no longer be written; the
    /// process has to end, since it must not acknowledge what it can't store.
    control_logic(settings::control_settings settings, replica opened,
                  std::function<void(std::string_view)> on_failure);

    void attach(runtime::event_loop& loop);
    void handle(const message& /*message*/) {}

private:
    using subscribers = std::map<std::string, std::uint64_t, std::less<>>;

    void receive(std::string_view peer, std::string_view body);
    void take(std::string_view peer, const control_to_control& content);
    void take(std::string_view peer, const control::entry_to_control& content);
    void submit(edit_sender sender, const control::edit_command& edit);
    void reply(const edit_sender& sender, const std::optional<control::edit_answer>& answer);
    void run_timer();
    void finish_turn();
    void publish_documents();
    void publish_digest();
    void send_delta(std::string_view host, std::uint64_t revision);
    void send(std::string_view host, const control_to_control& content);
    void send(std::string_view host, const control::control_to_entry& content);
    [[nodiscard]] bool is_control_host(std::string_view peer) const;

    settings::control_settings settings_;
    replica replica_;
    std::function<void(std::string_view)> on_failure_;
    std::unique_ptr<net::peer_links> links_;
    edit_queue edits_;
    subscribers subscribers_; ///< Revision that each subscriber was last sent.
    core::time_ms next_digest_{};
    bool failed_ = false;
    runtime::event_handle timer_;
};

/// Opens the data folder and the replica in it. `create_cluster` founds a new cluster of this host
/// alone; it fails when the folder already belongs to one.
[[nodiscard]] absl::StatusOr<control_logic::replica>
open_replica(const settings::control_settings& settings, bool create_cluster);

} // namespace hawthornstall::control_host
