#pragma once

/// Loop task of a control host: owns the links, the encoding of messages, the timer and the data
/// folder.

#include "hawthornstall/control/control_service.hpp"
#include "hawthornstall/control/file_storage.hpp"
#include "hawthornstall/net/peer_links.hpp"
#include "hawthornstall/runtime/event_loop.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// What a control host is started with.
struct control_options {
    net::peer_links::identity self;
    std::vector<net::peer_endpoint> control_hosts; ///< The other control hosts.
    std::vector<net::peer_endpoint> entry_hosts;
    consensus_settings consensus;
    std::string data_folder;
};

/// Something worth a log record.
struct control_event {
    enum class kind : std::uint8_t {
        folder_damaged, ///< `detail` is where the damaged folder was moved.
        role_changed,   ///< `detail` is the new role.
        peer_reachable,
        peer_unreachable,
        failed, ///< Storage failed; the process must end. `detail` describes the error.
    };
    kind what = kind::failed;
    std::string detail;
};

/// Runs control_service on a loop task. There are no messages from other tasks of the process.
class control_logic {
public:
    struct message {};

    /// Receives events on this task's thread.
    using observer = std::function<void(const control_event&)>;

    control_logic(control_options options, observer report);

    /// Opens the data folder and the links. Throws std::runtime_error when either fails.
    void attach(runtime::event_loop& loop);
    void handle(message /*unused*/) {}

private:
    void open_storage();
    void receive(std::string_view peer, std::string_view body);
    void notice(std::string_view peer, bool reachable);
    void tick();
    void finish_soon();
    void finish();

    control_options options_;
    observer report_;
    runtime::event_loop* loop_ = nullptr;
    std::unique_ptr<net::peer_links> links_;
    std::unique_ptr<control_service<file_storage>> service_;
    member_role last_role_ = member_role::follower;
    bool finish_is_due_ = false;
    runtime::event_handle tick_event_;
    runtime::event_handle finish_event_;
};

} // namespace hawthornstall::control
