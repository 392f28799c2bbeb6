#include "hawthornstall/entry/entry_host.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/entry/document_cache.hpp"

#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace hawthornstall::entry {
namespace detail {

/// Capacity of each mailbox in messages. At 20,000 task starts per second and four messages per
/// task it holds most of a second of traffic; beyond that, callers are refused.
constexpr std::size_t mailbox_capacity = 65'536;

dispatcher_options make_options(const settings::entry_settings& settings,
                                std::uint64_t incarnation) {
    dispatcher_options options;
    options.self = {settings.name, settings.zone, settings.weight};
    options.incarnation = incarnation;
    for (const auto& peer : settings.peers) {
        options.others.push_back({peer.host.name, peer.zone, peer.weight});
    }
    options.journal_replicas = settings.journal_replicas;
    for (const auto& host : settings.control_hosts) {
        options.control_hosts.push_back(host.name);
    }
    return options;
}

/// Documents that an earlier process saved. A damaged file is logged and ignored, since a control
/// host sends the documents anyway.
std::optional<control::config_delta> load_saved(const settings::entry_settings& settings,
                                                telemetry::log_output& output) {
    if (!settings.data_folder) {
        return std::nullopt;
    }
    auto saved = load_documents(*settings.data_folder);
    if (!saved.ok()) {
        telemetry::logger log{output};
        const auto reason = core::describe(saved.status());
        log.write({.level = core::log_level::error, .name = "saved_documents_ignored"},
                  {{"reason", std::string_view{reason}}});
        return std::nullopt;
    }
    return *std::move(saved);
}

net::peer_endpoint to_endpoint(const settings::host_entry& host) {
    return {.name = host.name, .address = settings::to_string(host.peer_address)};
}

} // namespace detail

entry_host::entry_host(const settings::entry_settings& settings, telemetry::log_output& output,
                       std::function<void()> on_stopped)
    : on_stopped_(std::move(on_stopped)), loop_tasks_to_drain_(settings.http_threads + 1),
      dispatcher_mailbox_(runtime::make_mailbox<dispatcher_message>(detail::mailbox_capacity)),
      link_mailbox_(runtime::make_mailbox<outgoing_message>(detail::mailbox_capacity)),
      target_mailbox_(runtime::make_mailbox<start_order>(detail::mailbox_capacity)) {
    const auto incarnation = static_cast<std::uint64_t>(core::to_count(core::ms_clock::wall_now()));
    for (std::size_t number = 0; number < settings.http_threads; ++number) {
        front_mailboxes_.push_back(runtime::make_mailbox<front_message>(detail::mailbox_capacity));
    }
    auto options = detail::make_options(settings, incarnation);
    options.saved_documents = detail::load_saved(settings, output);
    dispatcher_ = std::make_unique<runtime::loop_task<dispatcher_logic>>(
        dispatcher_mailbox_, std::move(options),
        dispatcher_mailboxes{front_mailboxes_, link_mailbox_, target_mailbox_},
        std::function<void()>{[this] {
            loop_task_drained();
        }},
        &metrics_, &output, settings.data_folder);
    start_targets();
    start_links(settings, incarnation);
    for (std::size_t number = 0; number < settings.http_threads; ++number) {
        start_front(settings, number);
    }
}

void entry_host::start_targets() {
    const target_logic::receiver deliver = [mailbox = dispatcher_mailbox_](task_report report) {
        (void)mailbox->post(dispatcher_message{std::move(report)});
    };
    targets_ =
        std::make_unique<runtime::loop_task<target_logic>>(target_mailbox_, deliver, &metrics_);
}

void entry_host::start_links(const settings::entry_settings& settings, std::uint64_t incarnation) {
    std::vector<net::peer_endpoint> entry_hosts;
    for (const auto& peer : settings.peers) {
        entry_hosts.push_back(detail::to_endpoint(peer.host));
    }
    std::vector<net::peer_endpoint> control_hosts;
    for (const auto& host : settings.control_hosts) {
        control_hosts.push_back(detail::to_endpoint(host));
    }
    // A message that finds the mailbox full is dropped: peers resend.
    const link_logic::receiver deliver = [mailbox = dispatcher_mailbox_](auto input) {
        std::visit(
            [&](auto& content) { (void)mailbox->post(dispatcher_message{std::move(content)}); },
            input);
    };
    links_ = std::make_unique<runtime::loop_task<link_logic>>(
        link_mailbox_,
        net::peer_links::identity{settings.name, incarnation,
                                  settings::to_string(settings.peer_address)},
        std::move(entry_hosts), std::move(control_hosts), deliver, &metrics_);
}

void entry_host::start_front(const settings::entry_settings& settings, std::size_t number) {
    const front_logic::dispatcher_sender to_dispatcher =
        [mailbox = dispatcher_mailbox_](dispatcher_message message) {
            return mailbox->post(std::move(message));
        };
    fronts_.push_back(std::make_unique<front_task>(
        front_mailboxes_[number],
        front_options{number, settings.name, settings::to_string(settings.http_address),
                      settings.credentials},
        to_dispatcher, &metrics_, std::function<void()>{[this] {
            loop_task_drained();
        }}));
}

void entry_host::shut_down() {
    for (const auto& front : front_mailboxes_) {
        (void)front->post(close_requested{});
    }
    (void)dispatcher_mailbox_->post(shutdown_requested{});
}

void entry_host::loop_task_drained() {
    if (loop_tasks_to_drain_.fetch_sub(1) == 1) {
        on_stopped_();
    }
}

} // namespace hawthornstall::entry
