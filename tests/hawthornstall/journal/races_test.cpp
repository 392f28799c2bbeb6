#include "hawthornstall/journal/owner_log.hpp"
#include "hawthornstall/journal/replica.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::journal {
namespace {

using core::duration_ms;
using core::time_ms;

const std::array<std::string, 3> names{"a", "b", "c"};
const shard_id shard{"paint", "bilbao"};

/// Which of the replicas a, b and c can be reached.
using reachability = std::array<bool, 3>;
constexpr reachability all{true, true, true};
constexpr reachability only_a_b{true, true, false};
constexpr reachability only_a{true, false, false};
constexpr reachability only_b{false, true, false};
constexpr reachability only_b_c{false, true, true};
constexpr reachability only_c{false, false, true};

/// Three replicas. Messages to and from reachable ones are delivered at once; others are lost.
class replica_set {
public:
    replica_set() {
        for (std::size_t index = 0; index < names.size(); ++index) {
            restart(index);
        }
    }

    /// Restarts a replica without state.
    void restart(std::size_t index) {
        replicas_.at(index) = std::make_unique<replica>(names.at(index), ++last_incarnation_);
    }

    /// Delivers the messages in `effects` and all that follow from them. Returns whether `log`
    /// stepped down.
    bool deliver(owner_log& log, const owner_effects& effects, const reachability& reachable) {
        bool has_stepped_down = false;
        for (const auto& effect : effects) {
            has_stepped_down = has_stepped_down || std::holds_alternative<stepped_down>(effect);
            const auto* const sent = std::get_if<send_to_replica>(&effect);
            if (sent == nullptr || !reachable.at(index_of(sent->replica))) {
                continue;
            }
            const auto reply = replicas_.at(index_of(sent->replica))->handle(sent->message);
            has_stepped_down =
                deliver(log, log.handle(reply, now_, now_), reachable) || has_stepped_down;
        }
        return has_stepped_down;
    }

    /// Lets `log` try to take ownership. Returns whether it stepped down.
    bool take_ownership_of(owner_log& log, const reachability& reachable) {
        return deliver(log, log.take_ownership(now_), reachable);
    }

    /// Runs `rounds` ticks, one per resend interval. Returns whether `log` stepped down.
    bool run_ticks(owner_log& log, const reachability& reachable, int rounds = 20) {
        bool has_stepped_down = false;
        for (int round = 0; round < rounds; ++round) {
            now_ += owner_settings{}.resend_after;
            has_stepped_down = deliver(log, log.tick(now_, now_), reachable) || has_stepped_down;
        }
        return has_stepped_down;
    }

    /// Appends the start of a task; returns whether a quorum holds it.
    bool start_task(owner_log& log, const std::string& key, const reachability& reachable) {
        const job_records records{.submission = {now_, key},
                                  .registration = submission_registration{{1, 2}, 1},
                                  .starts = {{0, 1}}};
        const auto result = log.append(records, now_);
        deliver(log, result.effects, reachable);
        return result.sequence != 0 && log.committed() >= result.sequence;
    }

    [[nodiscard]] replica& at(std::size_t index) { return *replicas_.at(index); }
    [[nodiscard]] time_ms now() const { return now_; }
    void wait(duration_ms duration) { now_ += duration; }

private:
    [[nodiscard]] static std::size_t index_of(const std::string& name) {
        return static_cast<std::size_t>(name.front() - 'a');
    }

    time_ms now_{duration_ms{1'000'000}};
    std::uint64_t last_incarnation_ = 0;
    std::array<std::unique_ptr<replica>, 3> replicas_;
};

owner_log make_log(const std::string& host) {
    return {shard, owner_identity{host, 1}, names};
}

/// A superseded owner doesn't restore a generation from its old records after a quorum of replicas
/// has restarted and lost the records of its successor.
void superseded_owner_does_not_restore_lost_generation(replica_set& replicas) {
    auto superseded_owner = make_log("old");
    auto new_owner = make_log("new");
    replicas.take_ownership_of(superseded_owner, all);
    replicas.take_ownership_of(new_owner, only_a_b);
    while (!new_owner.is_serving()) {
        replicas.take_ownership_of(new_owner, only_a_b);
    }
    REQUIRE(replicas.start_task(new_owner, "job", only_a_b));
    replicas.restart(0);
    replicas.restart(1);
    const auto lost = superseded_owner.generation();
    replicas.run_ticks(superseded_owner, only_b_c);
    CHECK(replicas.at(1).status(shard).generation != lost);
    CHECK_FALSE(replicas.start_task(superseded_owner, "job", only_b_c));
}

/// Lets all replicas report to `forming_owner` and returns the form_generation messages that it
/// sends.
std::vector<form_generation> collect_form_messages(owner_log& forming_owner,
                                                   replica_set& replicas) {
    std::vector<form_generation> forms;
    for (const auto& effect : forming_owner.take_ownership(replicas.now())) {
        const auto& sent = std::get<send_to_replica>(effect);
        const auto index = static_cast<std::size_t>(sent.replica.front() - 'a');
        const auto answer = replicas.at(index).handle(sent.message);
        for (const auto& reply : forming_owner.handle(answer, replicas.now(), replicas.now())) {
            forms.push_back(std::get<form_generation>(std::get<send_to_replica>(reply).message));
        }
    }
    REQUIRE(forms.size() == names.size());
    return forms;
}

/// A replica that restarts between its report and the formation refuses to join the generation. The
/// owner doesn't use that number again, because the earlier incarnation may have joined it.
void replica_restarts_while_generation_forms(replica_set& replicas) {
    auto forming_owner = make_log("former");
    const auto forms = collect_form_messages(forming_owner, replicas);
    replicas.restart(0);
    const auto refused = replicas.at(0).handle(forms[0]);
    CHECK_FALSE(std::get<ack>(refused).accepted);
    const auto abandoned = forming_owner.generation();
    replicas.deliver(forming_owner, forming_owner.handle(refused, replicas.now(), replicas.now()),
                     all);
    CHECK(forming_owner.is_serving());
    CHECK(forming_owner.generation() > abandoned);
    replicas.restart(0);
    CHECK_FALSE(std::get<ack>(replicas.at(0).handle(forms[0])).accepted);
}

/// The owner abandons the formation when a replica reports with a new incarnation: the earlier one
/// may have joined and promised an epoch to another owner, so the new one must not join it empty.
void new_incarnation_reports_while_generation_forms(replica_set& replicas) {
    auto forming_owner = make_log("former");
    replicas.take_ownership_of(forming_owner, only_b);
    const fence asked{.term = {shard, forming_owner.epoch(), {"former", 1}},
                      .wants_snapshot = true};
    static_cast<void>(
        forming_owner.handle(replicas.at(0).handle(asked), replicas.now(), replicas.now()));
    replicas.wait(owner_settings{}.resend_after);
    static_cast<void>(forming_owner.tick(replicas.now(), replicas.now()));
    REQUIRE(forming_owner.phase() == owner_phase::forming);
    replicas.restart(0);
    static_cast<void>(
        forming_owner.handle(replicas.at(0).handle(asked), replicas.now(), replicas.now()));
    CHECK(forming_owner.phase() == owner_phase::fencing);
}

/// An owner that resumes after a pause of a minute, and was superseded meanwhile, can't commit a
/// start.
void paused_owner_resumes(replica_set& replicas) {
    auto paused = make_log("paused");
    auto successor = make_log("successor");
    replicas.take_ownership_of(paused, all);
    replicas.wait(duration_ms{60'000});
    while (!successor.is_serving()) {
        replicas.take_ownership_of(successor, all);
    }
    CHECK_FALSE(replicas.start_task(paused, "job", all));
    CHECK(replicas.run_ticks(paused, all));
    CHECK_FALSE(paused.is_serving());
    replicas.run_ticks(successor, all);
    CHECK(replicas.start_task(successor, "job", all));
}

/// A snapshot for an earlier incarnation of a replica, delayed past its restart, is refused.
void snapshot_is_delayed_past_restart(replica_set& replicas) {
    auto owner = make_log("owner");
    replicas.take_ownership_of(owner, all);
    const auto incarnation = replicas.at(0).status(shard).incarnation;
    const install_snapshot delayed{.term = {shard, owner.epoch(), {"owner", 1}},
                                   .generation = owner.generation(),
                                   .incarnation = incarnation,
                                   .sequence = 0,
                                   .state = {}};
    replicas.restart(0);
    CHECK_FALSE(std::get<ack>(replicas.at(0).handle(delayed)).accepted);
    CHECK(replicas.at(0).status(shard).generation == 0);
    replicas.run_ticks(owner, all);
    CHECK(replicas.at(0).status(shard).generation == owner.generation());
}

/// Of two candidates with the same epoch, one owns the shard and the other one can't append.
void candidates_choose_equal_epochs(replica_set& replicas) {
    auto first = make_log("first");
    auto second = make_log("second");
    replicas.take_ownership_of(first, all);
    replicas.take_ownership_of(second, all);
    CHECK(second.epoch() == first.epoch());
    CHECK(first.is_serving());
    CHECK_FALSE(second.is_serving());
}

/// A snapshot that arrives after later appends doesn't undo them.
void snapshot_is_overtaken(replica_set& replicas) {
    auto owner = make_log("owner");
    replicas.take_ownership_of(owner, all);
    const install_snapshot overtaken{.term = {shard, owner.epoch(), {"owner", 1}},
                                     .generation = owner.generation(),
                                     .incarnation = replicas.at(0).status(shard).incarnation,
                                     .sequence = 0,
                                     .state = {}};
    REQUIRE(replicas.start_task(owner, "job", all));
    static_cast<void>(replicas.at(0).handle(overtaken));
    const auto reply = replicas.at(0).handle(
        fence{.term = {shard, owner.epoch() + 1, {"next", 1}}, .wants_snapshot = true});
    CHECK(std::get<fence_reply>(reply).snapshot.value().submissions.size() == 1);
}

/// An owner without a quorum accepts appends but commits none, and commits again when the quorum is
/// back.
void quorum_is_lost_and_returns(replica_set& replicas) {
    auto owner = make_log("owner");
    replicas.take_ownership_of(owner, all);
    const auto committed = owner.committed();
    CHECK_FALSE(replicas.start_task(owner, "job", only_c));
    replicas.run_ticks(owner, only_c);
    CHECK_FALSE(owner.has_quorum());
    CHECK(owner.committed() == committed);
    replicas.run_ticks(owner, only_b_c);
    CHECK(owner.has_quorum());
    CHECK(owner.committed() > committed);
}

/// Committed records survive the loss of a replica right after another one was repaired.
void second_replica_is_lost_after_repair(replica_set& replicas) {
    auto owner = make_log("owner");
    auto successor = make_log("successor");
    replicas.take_ownership_of(owner, all);
    REQUIRE(replicas.start_task(owner, "job", only_b_c));
    replicas.restart(1);
    replicas.run_ticks(owner, all);
    REQUIRE(replicas.at(1).status(shard).generation == owner.generation());
    replicas.restart(2);
    while (!successor.is_serving()) {
        replicas.take_ownership_of(successor, only_a_b);
    }
    CHECK(successor.generation() == owner.generation());
    CHECK(successor.state().size() == 1);
}

/// A refusal that a later owner adopted, and may have reported, is kept although a replica holds a
/// registration that an owner between the two wrote and never committed.
void adopted_refusal_is_kept(replica_set& replicas) {
    auto first = make_log("first");
    auto second = make_log("second");
    auto third = make_log("third");
    replicas.take_ownership_of(first, all);
    const submission_key job{replicas.now(), "job"};
    const submission_registration registration{{1, 2}, 1};
    const job_end refusal{.outcome = core::outcome_class::refused_not_run};
    const auto refused = first.append(
        {.submission = job, .registration = registration, .end = refusal}, replicas.now());
    replicas.deliver(first, refused.effects, only_a);
    while (!second.is_serving()) {
        replicas.take_ownership_of(second, only_b_c);
    }
    const auto registered =
        second.append({.submission = job, .registration = registration}, replicas.now());
    replicas.deliver(second, registered.effects, only_c);
    while (!third.is_serving()) {
        replicas.take_ownership_of(third, only_a_b);
    }
    REQUIRE(third.state().find(job)->end.has_value());
    while (!second.is_serving() || second.epoch() < third.epoch()) {
        replicas.take_ownership_of(second, only_b_c);
    }
    CHECK(second.state().find(job)->end.has_value());
}

/// A single recovering replica doesn't promise an epoch, and no generation is formed from it alone.
void single_recovering_replica_forms_no_generation(replica_set& replicas) {
    auto candidate = make_log("candidate");
    replicas.take_ownership_of(candidate, only_b);
    replicas.run_ticks(candidate, only_b, 50);
    CHECK_FALSE(candidate.is_serving());
    CHECK(replicas.at(1).status(shard).generation == 0);
}

struct race_case {
    std::string_view name;
    void (*run)(replica_set& replicas);
};

constexpr std::array race_cases{
    race_case{"superseded owner does not restore a lost generation",
              superseded_owner_does_not_restore_lost_generation},
    race_case{"replica restarts while a generation forms", replica_restarts_while_generation_forms},
    race_case{"new incarnation reports while a generation forms",
              new_incarnation_reports_while_generation_forms},
    race_case{"paused owner resumes", paused_owner_resumes},
    race_case{"snapshot is delayed past a restart", snapshot_is_delayed_past_restart},
    race_case{"snapshot is overtaken by appends", snapshot_is_overtaken},
    race_case{"candidates choose equal epochs", candidates_choose_equal_epochs},
    race_case{"quorum is lost and returns", quorum_is_lost_and_returns},
    race_case{"second replica is lost after a repair", second_replica_is_lost_after_repair},
    race_case{"adopted refusal is kept", adopted_refusal_is_kept},
    race_case{"single recovering replica forms no generation",
              single_recovering_replica_forms_no_generation},
};

// Guards against races that random schedules reach too rarely. The comment on each case's function
// states the expected outcome.
TEST_CASE("races between owners, restarts and delayed messages") {
    for (const auto& test : race_cases) {
        CAPTURE(test.name);
        replica_set replicas;
        test.run(replicas);
    }
}

} // namespace
} // namespace hawthornstall::journal
