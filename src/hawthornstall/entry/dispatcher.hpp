#pragma once

/// Decisions of one entry host: routes jobs to owners, owns shards, holds a journal replica.

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
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace hawthornstall::entry {

/// Identity of this host and the shape of its deployment.
struct dispatcher_options {
    known_host self;
    std::uint64_t incarnation = 0; ///< Wall-clock start time in ms.
    std::vector<known_host> others;
    std::vector<std::string> journal_replicas; ///< Replicas of this host's zone.
    std::vector<std::string> control_hosts;
    std::optional<control::config_delta> saved_documents; ///< Of an earlier process of this host.
};

/// Pure state machine; the loop task around it carries out the effects.
class dispatcher {
public:
    using times = shard::times;

    dispatcher(dispatcher_options options, times started);

    [[nodiscard]] dispatcher_effects handle(dispatcher_message message, times at);

    /// Timers; to be called no later than next_call().
    [[nodiscard]] dispatcher_effects tick(times at);

    [[nodiscard]] core::time_ms next_call() const noexcept { return next_call_; }

    /// Whether a requested shutdown can end the process without cutting off a request.
    [[nodiscard]] bool is_drained() const;

    /// Whether this host serves the service in its zone.
    [[nodiscard]] bool owns(std::string_view service) const;

    /// Epochs of the services that this host serves in its zone.
    [[nodiscard]] std::map<std::string, std::uint64_t> owned_epochs() const;

    /// Time since the documents were last confirmed; empty before the first confirmation.
    [[nodiscard]] std::optional<core::duration_ms> configuration_age(core::time_ms now) const;

    /// Journal generation of a service that this host serves; 0 otherwise.
    [[nodiscard]] std::uint64_t generation_of(std::string_view service) const;

private:
    /// What the shards were last told about a target.
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

    void forward_to_owner(std::uint64_t number, times at);
    [[nodiscard]] core::submission_id make_id(const announced_owner& owner, times at);
    void expire_forwarded(times at);
    void answer_caller(std::uint64_t number, const core::job_answer& answer);
    void answer(const reply_address& reply_to, const core::job_answer& answer, times at);
    void redirect(const reply_address& reply_to, times at);

    void carry_out(config_effects effects, times at);
    void apply_documents(times at);
    [[nodiscard]] core::admin_view view_targets(times at) const;
    [[nodiscard]] std::vector<core::shard_view> view_shards() const;
    [[nodiscard]] shard* find_shard(std::string_view service);
    void claim_shards(times at);
    void carry_out(shard& source, shard_effects effects, times at);
    void send_journal(std::string_view replica, journal::owner_message message, times at);
    void send(std::string_view peer, peer_message message);
    void send_notices(times at);
    [[nodiscard]] ownership_notice make_notice(times at) const;
    void start(shard& source, run_task task, times at);
    void tick_targets(times at);
    void carry_out(membership::registry_effects effects);
    void offer_changed_targets(times at);
    void offer_if_changed(const membership::target_entry& entry, times at);
    void offer_target(shard& to, const membership::target_entry& entry, times at);
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
    std::uint64_t last_key_ = 0;
    core::time_ms next_call_{};
    dispatcher_effects effects_;
};

} // namespace hawthornstall::entry
