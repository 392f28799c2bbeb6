#include "random_schedule.hpp"

#include <doctest/doctest.h>

#include <string_view>

namespace hawthornstall::journal::testing {
namespace {

/// Acknowledges appends of an owner that was superseded.
class unfenced_replica : public replica {
public:
    using replica::replica;

    replica_message handle(const owner_message& message) {
        auto reply = replica::handle(message);
        const auto* const body = std::get_if<append>(&message);
        auto* const answer = std::get_if<ack>(&reply);
        if (body != nullptr && answer != nullptr && answer->status.generation != 0) {
            answer->accepted = true;
            answer->applied = std::max(answer->applied, body->sequence);
        }
        return reply;
    }
};

/// While recovering, joins the owner's generation by an append, without the records that it lost.
class recovering_ack_replica : public replica {
public:
    using replica::replica;

    replica_message handle(const owner_message& message) {
        const auto* const body = std::get_if<append>(&message);
        if (body != nullptr && status(body->term.shard).generation == 0) {
            const install_snapshot empty{.term = body->term,
                                         .generation = body->generation,
                                         .incarnation = status(body->term.shard).incarnation,
                                         .sequence = body->sequence - 1,
                                         .state = {}};
            static_cast<void>(replica::handle(empty));
        }
        return replica::handle(message);
    }
};

/// Acknowledges appends although earlier ones are missing.
class gap_ack_replica : public replica {
public:
    using replica::replica;

    replica_message handle(const owner_message& message) {
        auto reply = replica::handle(message);
        const auto* const body = std::get_if<append>(&message);
        auto* const answer = std::get_if<ack>(&reply);
        if (body != nullptr && answer != nullptr && answer->accepted) {
            answer->applied = std::max(answer->applied, body->sequence);
        }
        return reply;
    }
};

/// Promises every epoch, even one that is lower than an earlier promise. Messages are passed on
/// with the highest epoch so far, and answers are relabelled with the epoch of the message.
class unordered_promise_replica : public replica {
public:
    using replica::replica;

    replica_message handle(const owner_message& message) {
        auto relabelled = message;
        std::visit(
            [this](auto& body) {
                highest_ = std::max(highest_, body.term.epoch);
                body.term.epoch = highest_;
                body.term.owner = {"any", 1};
            },
            relabelled);
        auto reply = replica::handle(relabelled);
        std::visit(
            [&message](auto& body) {
                body.epoch = std::visit([](const auto& sent) { return sent.term.epoch; }, message);
                body.status.promised = body.epoch;
            },
            reply);
        return reply;
    }

private:
    epoch_number highest_ = 0;
};

/// Returns the verdict `To` instead of `From`.
template <submission_verdict From, submission_verdict To>
class misreporting_table : public submission_table {
public:
    using submission_table::submission_table;

    submission_lookup find(const core::submission_id& id, const content_digest& digest,
                           core::time_ms wall_now) const {
        auto result = submission_table::find(id, digest, wall_now);
        if (result.verdict == From) {
            result.verdict = To;
        }
        return result;
    }
};

/// Takes expired identifiers for new ones. shard_state refuses to record a dropped submission
/// again, so next_attempt() has to be broken as well.
class expiry_ignoring_table
    : public misreporting_table<submission_verdict::too_old, submission_verdict::fresh> {
public:
    using misreporting_table::misreporting_table;

    std::optional<std::uint32_t> next_attempt(const submission_key& submission,
                                              std::uint32_t task) const {
        const bool is_known = log().state().find(submission) != nullptr;
        return is_known ? submission_table::next_attempt(submission, task) : 1;
    }
};

/// Takes identifiers of a lost generation for new ones.
using generation_ignoring_table =
    misreporting_table<submission_verdict::other_generation, submission_verdict::fresh>;
/// Runs a second content under the same identifier.
using content_ignoring_table =
    misreporting_table<submission_verdict::different_content, submission_verdict::fresh>;
/// Reports a submission that may have run as refused and not run.
using false_refusal_table =
    misreporting_table<submission_verdict::may_have_run, submission_verdict::refused>;

/// Check of one invariant.
using checker = std::optional<std::string> (*)(const history&);

template <class Replica, class Table> history run_variant(std::uint64_t seed) {
    simulation<Replica, Table> run{seed};
    run_schedule(run);
    return run.events();
}

struct variant_case {
    std::string_view name;
    history (*run)(std::uint64_t seed);
    checker check;
};

const std::array variant_cases{
    variant_case{"older epochs acknowledged", run_variant<unfenced_replica, submission_table>,
                 find_double_start},
    variant_case{"older epochs acknowledged, refusals",
                 run_variant<unfenced_replica, submission_table>, find_false_refusal},
    variant_case{"acknowledges while recovering",
                 run_variant<recovering_ack_replica, submission_table>, find_double_start},
    variant_case{"acknowledges while recovering, answers",
                 run_variant<recovering_ack_replica, submission_table>, find_changed_answer},
    variant_case{"gaps acknowledged", run_variant<gap_ack_replica, submission_table>,
                 find_double_start},
    variant_case{"lower epochs promised", run_variant<unordered_promise_replica, submission_table>,
                 find_double_start},
    variant_case{"expired identifiers accepted", run_variant<replica, expiry_ignoring_table>,
                 find_double_start},
    variant_case{"expired identifiers accepted, answers",
                 run_variant<replica, expiry_ignoring_table>, find_changed_answer},
    variant_case{"other generations accepted", run_variant<replica, generation_ignoring_table>,
                 find_double_start},
    variant_case{"content not compared", run_variant<replica, content_ignoring_table>,
                 find_second_content},
    variant_case{"false refusals", run_variant<replica, false_refusal_table>, find_false_refusal},
};

// Guards against checks and schedules that can't detect a fault. Each variant breaks one rule, and
// a random schedule must violate the invariant that the rule protects.
TEST_CASE("each checker catches a deliberately broken variant") {
    constexpr std::uint64_t max_seeds = 2000;
    for (const auto& test : variant_cases) {
        CAPTURE(test.name);
        std::uint64_t seed = 1;
        while (seed <= max_seeds && !test.check(test.run(seed))) {
            ++seed;
        }
        CHECK(seed <= max_seeds);
        MESSAGE(test.name << " caught at seed " << seed);
    }
}

} // namespace
} // namespace hawthornstall::journal::testing
