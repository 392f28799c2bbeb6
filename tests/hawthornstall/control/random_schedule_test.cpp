#include "hawthornstall/control/cluster_simulation.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <string_view>

namespace hawthornstall::control {
namespace {

struct invariant {
    std::string_view name;
    violations (*check)(const history&);
};

constexpr std::array invariants{
    invariant{"one leader per term", &check_one_leader_per_term},
    invariant{"committed entries agree", &check_committed_agree},
    invariant{"accepted edits are kept", &check_accepted_kept},
    invariant{"one winner", &check_one_winner},
    invariant{"first answer", &check_first_answer},
    invariant{"versions are monotonic", &check_versions_monotonic},
};

/// Seeds per schedule. HAWTHORNSTALL_SEEDS sets another number for longer runs. Builds with
/// sanitizers are unoptimised and would exceed the time limit of the test.
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr std::uint64_t default_seed_count = 20;
#else
constexpr std::uint64_t default_seed_count = 250;
#endif

std::uint64_t seed_count() {
    const char* const text = std::getenv("HAWTHORNSTALL_SEEDS");
    return text == nullptr ? default_seed_count : std::strtoull(text, nullptr, 10);
}

struct schedule {
    std::string_view name;
    simulation_options options;
};

const simulation_options damaged_logs{.drop_percent = 0,
                                      .duplicate_percent = 0,
                                      .crash_per_mille = 0,
                                      .partition_per_mille = 0,
                                      .disk_loss_per_mille = 0,
                                      .log_damage_per_mille = 20};

const simulation_options several_damaged_logs{.drop_percent = 0,
                                              .duplicate_percent = 0,
                                              .crash_per_mille = 0,
                                              .partition_per_mille = 0,
                                              .disk_loss_per_mille = 0,
                                              .log_damage_per_mille = 20,
                                              .damages_several_logs = true};

const std::array schedules{
    schedule{"all faults combined", {}},
    schedule{"lossy network", {.drop_percent = 25, .duplicate_percent = 25}},
    schedule{"many crashes", {.crash_per_mille = 12, .disk_loss_per_mille = 0}},
    schedule{"partitioned leaders", {.crash_per_mille = 0, .partition_per_mille = 15}},
    schedule{"a disk is lost right after each repair",
             {.crash_per_mille = 1, .partition_per_mille = 0, .disk_loss_per_mille = 300}},
    schedule{"a host is replaced by another right after each repair",
             {.crash_per_mille = 1,
              .partition_per_mille = 0,
              .disk_loss_per_mille = 300,
              .replaces_hosts = true}},
    schedule{"all faults combined with replaced hosts", {.replaces_hosts = true}},
    schedule{"damaged logs alone", damaged_logs},
    schedule{"several damaged logs at once", several_damaged_logs},
    schedule{"damaged logs with all other faults", {.log_damage_per_mille = 20}},
    schedule{"several damaged logs at once with all other faults",
             {.log_damage_per_mille = 20, .damages_several_logs = true}},
};

// Guards against edits that are lost, reverted or applied twice under combined faults, and against
// a cluster that does not recover from the faults. With damaged logs it guards against members
// that elect a leader without the entries that they have confirmed and lost.
TEST_CASE("invariants hold under random schedules") {
    for (const auto& schedule : schedules) {
        std::size_t answers = 0;
        std::size_t lost_disks = 0;
        std::size_t damaged_logs = 0;
        for (std::uint64_t seed = 1; seed <= seed_count(); ++seed) {
            CAPTURE(schedule.name);
            CAPTURE(seed);
            cluster_simulation<> simulation{seed, schedule.options};
            simulation.run();
            INFO(simulation.failure().ToString());
            CHECK(simulation.has_recovered());
            for (const auto& invariant : invariants) {
                CAPTURE(invariant.name);
                const auto found = invariant.check(simulation.observed());
                INFO((found.empty() ? std::string{} : found.front()));
                CHECK(found.empty());
            }
            answers += simulation.observed().answers.size();
            lost_disks += simulation.lost_disks();
            damaged_logs += simulation.damaged_logs();
        }
        MESSAGE(schedule.name << ": " << answers << " answers, " << lost_disks << " lost disks, "
                              << damaged_logs << " damaged logs");
        CHECK(answers >= 10 * seed_count());
        const bool damages_logs = schedule.options.log_damage_per_mille > 0;
        CHECK(damaged_logs >= (damages_logs ? 2 * seed_count() : 0));
    }
}

/// A store that accepts edits with any base version.
class store_without_versions : public document_store {
public:
    using document_store::apply;
    edit_answer apply(const edit_command& edit) {
        auto rebased = edit;
        const auto* const current = find(edit.service);
        rebased.base_version = current == nullptr ? 0 : current->version;
        return document_store::apply(rebased);
    }
};

/// A store that does not recognise resent edits.
class store_without_identifiers : public document_store {
public:
    store_without_identifiers() : document_store(store_bounds{.max_answered_edits = 0}) {}
};

/// A copy that adopts every delta, also one that is older than its documents.
class copy_without_version_check : public applied_documents {
public:
    void apply(const config_delta& delta) {
        static_cast<applied_documents&>(*this) = applied_documents{};
        applied_documents::apply(delta);
    }

    // With revision 0, every delta contains all documents.
    [[nodiscard]] static std::uint64_t revision() { return 0; }
};

/// First seed with which `check` reports a violation; 0 when none of 60 does.
template <class Simulation>
std::uint64_t first_faulty_seed(const simulation_options& options,
                                violations (*check)(const history&)) {
    constexpr std::uint64_t count = 60;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        Simulation simulation{seed, options};
        simulation.run();
        if (!check(simulation.observed()).empty()) {
            return seed;
        }
    }
    return 0;
}

struct faulty_variant {
    std::string_view name;
    simulation_options options;
    violations (*check)(const history&);
    std::uint64_t (*run)(const simulation_options&, violations (*)(const history&));
};

const simulation_options many_crashes{.crash_per_mille = 30, .disk_loss_per_mille = 0};

simulation_options with_storage(storage_faults storage) {
    auto options = many_crashes;
    options.storage = storage;
    return options;
}

simulation_options with_kept_identity() {
    simulation_options options{.crash_per_mille = 5, .disk_loss_per_mille = 5};
    options.keeps_identity = true;
    return options;
}

simulation_options with_forgotten_entries(simulation_options options) {
    options.storage.forgets_acknowledged = true;
    return options;
}

// Guards against invariant checks that never report anything: each must detect the faulty variant
// that violates its invariant.
TEST_CASE("each invariant check detects a faulty variant") {
    using plain = cluster_simulation<>;
    const std::array variants{
        faulty_variant{"term and vote are lost in a crash",
                       with_storage({.ignores_sync = false, .loses_votes = true}),
                       &check_one_leader_per_term, &first_faulty_seed<plain>},
        faulty_variant{"votes under its old identity after losing its disk", with_kept_identity(),
                       &check_committed_agree, &first_faulty_seed<plain>},
        faulty_variant{"acknowledges before syncing",
                       with_storage({.ignores_sync = true, .loses_votes = false}),
                       &check_accepted_kept, &first_faulty_seed<plain>},
        faulty_variant{"a damaged member leads and votes as if its log were whole: entries",
                       with_forgotten_entries({.log_damage_per_mille = 20}), &check_committed_agree,
                       &first_faulty_seed<plain>},
        faulty_variant{"a damaged member leads and votes as if its log were whole: edits",
                       with_forgotten_entries({.log_damage_per_mille = 20}), &check_accepted_kept,
                       &first_faulty_seed<plain>},
        faulty_variant{"several damaged members lead and vote as if their logs were whole: entries",
                       with_forgotten_entries(several_damaged_logs), &check_committed_agree,
                       &first_faulty_seed<plain>},
        faulty_variant{"several damaged members lead and vote as if their logs were whole: edits",
                       with_forgotten_entries(several_damaged_logs), &check_accepted_kept,
                       &first_faulty_seed<plain>},
        faulty_variant{"store without version check",
                       {},
                       &check_one_winner,
                       &first_faulty_seed<cluster_simulation<store_without_versions>>},
        faulty_variant{"store without edit identifiers",
                       {},
                       &check_first_answer,
                       &first_faulty_seed<cluster_simulation<store_without_identifiers>>},
        faulty_variant{
            "entry host trusts lagging control hosts",
            {},
            &check_versions_monotonic,
            &first_faulty_seed<cluster_simulation<document_store, copy_without_version_check>>},
    };
    for (const auto& variant : variants) {
        CAPTURE(variant.name);
        const auto seed = variant.run(variant.options, variant.check);
        MESSAGE(variant.name << ": detected with seed " << seed);
        CHECK(seed > 0);
    }
}

} // namespace
} // namespace hawthornstall::control
