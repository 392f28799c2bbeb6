#pragma once

/// State machine of one entry host: routes jobs to shard owners, runs the shards that the host
/// owns, and holds a journal replica.

#include "hawthornstall/entry/config_client.hpp"
#include "hawthornstall/entry/dispatcher_effects.hpp"
#include "hawthornstall/entry/dispatcher_messages.hpp"
#include "hawthornstall/entry/forward_table.hpp"
#include "hawthornstall/entry/host_directory.hpp"
#include "hawthornstall/entry/shard.hpp"
#include "hawthornstall/journal/replica.hpp"
#include "hawthornstall/membership/target_registry.hpp"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornstall::entry {

/// Identity of this host and the deployment that it is part of.
struct dispatcher_options {
    known_host self;
    std::uint64_t incarnation = 0;             ///< Wall-clock start time of this process in ms.
    std::vector<known_host> others;            ///< All other entry hosts, of every zone.
    std::vector<std::string> journal_replicas; ///< Hosts of this zone with a replica.
    std::vector<std::string> control_hosts;
    std::optional<control::config_delta> saved_documents; ///< Saved by an earlier process.
};

/// Does no I/O and reads no clock; dispatcher_logic, its loop task, carries out the effects.
class dispatcher {
public:
    using times = shard::times;

    dispatcher(dispatcher_options options, times started);

    /// Processes one message and returns the effects in the order in which to carry them out.
    [[nodiscard]] dispatcher_effects handle(dispatcher_message message, times at);

    /// Runs the timers that are due. Must be called no later than next_call().
    [[nodiscard]] dispatcher_effects tick(times at);

    [[nodiscard]] core::time_ms next_call() const noexcept { return next_call_; }

    /// Whether a shutdown was requested and the process can end without losing an open request.
    [[nodiscard]] bool is_drained() const;

    /// Whether this host owns the service's shard in its zone and is not draining.
    [[nodiscard]] bool admits_jobs_of(std::string_view service) const;

    /// Epochs of the services for which admits_jobs_of() holds.
    [[nodiscard]] std::map<std::string, std::uint64_t> owned_epochs() const;

    /// Time since the documents were last confirmed; empty before the first confirmation.
    [[nodiscard]] std::optional<core::duration_ms> configuration_age(core::time_ms now) const;

    /// Journal generation of a service that this host serves; 0 otherwise.
    [[nodiscard]] std::uint64_t generation_of(std::string_view service) const;

private:
    /// State of a target as last passed to the shards; only a change is passed on.
    struct offered_target {
        core::target_capacity capacity;
        std::vector<std::string> services;
        bool available = false;

        bool operator==(const offered_target&) const = default;
    };

    void process(job_submitted submitted, times at);
    void process(const id_requested& requested, times at);
    void process(const target_announced& target, times at);
    void process(const edit_submitted& submitted, times at);
    void process(const view_requested& requested, times at);
    void process(const task_report& report, times at);
    void process(incoming_message incoming, times at);
    void process(const peer_state_changed& change, times at);
    void process(const shutdown_requested& request, times at);

    void receive(std::string_view peer, forward_job forwarded, times at);
    void receive(std::string_view peer, const job_done& done, times at);
    void receive(std::string_view peer, const not_owner& refusal, times at);
    void receive(std::string_view peer, ownership_notice notice, times at);
    void receive(std::string_view peer, std::uint64_t incarnation,
                 const membership::message& message, times at);
    void receive(std::string_view peer, const journal::owner_message& message, times at);
    void receive(std::string_view peer, const journal::replica_message& message, times at);

    /// Sends a job of forwarded_ to its owner, or schedules a retry when no owner is known.
    void forward_to_owner(std::uint64_t number, times at);
    [[nodiscard]] core::submission_id make_id(const announced_owner& owner, times at);
    void expire_forwarded(times at);
    void answer_caller(std::uint64_t number, const core::job_answer& answer);
    void answer(const reply_address& reply_to, const core::job_answer& answer, times at);
    /// Tells the host that forwarded a job that this host does not run it.
    void redirect(const reply_address& reply_to, times at);

    void carry_out(config_effects effects, times at);
    void apply_documents(times at);
    [[nodiscard]] core::admin_view view_targets(times at) const;
    [[nodiscard]] std::vector<core::shard_view> view_shards() const;
    [[nodiscard]] shard* find_shard(std::string_view service);
    /// Starts to take ownership of the shards that this host should own.
    void claim_shards(times at);
    void carry_out(shard& source, shard_effects effects, times at);
    void send_journal(std::string_view replica, journal::owner_message message, times at);
    void send(std::string_view peer, peer_message message);
    void send_notices(times at);
    [[nodiscard]] ownership_notice make_notice(times at) const;
    void start(shard& source, run_task task, times at);
    void tick_targets(times at);
    void carry_out(membership::registry_effects effects);
    /// Calls offer_if_changed() for every known target.
    void offer_changed_targets(times at);
    /// Passes a target to the shards if its state has changed since it was last passed on.
    void offer_if_changed(const membership::target_entry& entry, times at);
    /// Passes a target to a shard if the target runs the shard's service.
    void offer_target(shard& to, const membership::target_entry& entry, times at);
    /// Removes a target from the shards of those of `services` that are not in `still_listed`.
    void withdraw_target(std::string_view name, std::span<const std::string> services,
                         std::span<const std::string> still_listed, times at);
    /// Removes the targets that are no longer known from the shards that they were passed to.
    void withdraw_forgotten_targets(times at);
    /// Passes every known target to a new shard.
    void offer_all_targets(shard& to, times at);
    void reply_to_front_end(const local_caller& caller, front_message message);
    [[nodiscard]] dispatcher_effects take_effects(times at);

    dispatcher_options options_;
    host_directory hosts_;
    journal::replica replica_;
    forward_table forwarded_;
    std::map<std::string, std::unique_ptr<shard>, std::less<>> shards_;
    config_client config_;
    bool has_restored_documents_ = false; ///< They are applied with the first tick.
    membership::target_registry registry_;
    std::unordered_map<std::string, offered_target> offered_;
    core::time_ms next_target_tick_{};
    bool draining_ = false;
    bool notice_due_ = false;
    core::time_ms next_notice_{};
    core::time_ms next_claim_{};
    /// Counter in the keys of the submission identifiers that this host issues.
    std::uint64_t last_issued_id_ = 0;
    core::time_ms next_call_{};
    dispatcher_effects effects_;
};

} // namespace hawthornstall::entry
