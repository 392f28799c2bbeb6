#include "policy/policies.hpp"

#include "hawthornstall/scheduling/scheduler.hpp"
#include "hawthornstall/scheduling/slot_capacity.hpp"
#include "hawthornstall/scheduling/worker_capacity.hpp"
#include "policy/naive_dispatcher.hpp"
#include "policy/simulation.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace hawthornstall::policy_bench {
namespace detail {

using namespace scheduling;

core::service_document default_document() {
    core::service_document document;
    document.retry.retry_failed_starts = true;
    return document;
}

template <class Scheduler>
run_result run_scheduler(const workload& plan, const core::service_document& document,
                         const scheduler_tuning& tuning) {
    Scheduler policy{document, tuning};
    return simulation<Scheduler>{plan, policy, {}}.run();
}

template <queue_order Order, placement_policy Placement = wait_for_faster,
          admission_policy Admission = admit_feasible>
run_result run_variant(const workload& plan,
                       const core::service_document& document = default_document(),
                       const scheduler_tuning& tuning = {}) {
    if (plan.parameters.size == deployment::minions) {
        return run_scheduler<scheduler<Order, slot_capacity, Placement, Admission>>(plan, document,
                                                                                    tuning);
    }
    return run_scheduler<scheduler<Order, worker_capacity, Placement, Admission>>(plan, document,
                                                                                  tuning);
}

run_result run_product(const workload& plan) {
    return run_variant<fewest_remaining>(plan);
}

run_result run_fifo(const workload& plan) {
    return run_variant<first_in_first_out>(plan);
}

run_result run_fair_share(const workload& plan) {
    return run_variant<fair_share>(plan);
}

run_result run_fastest_free(const workload& plan) {
    return run_variant<fewest_remaining, fastest_free>(plan);
}

/// The placement policy wait_for_faster with another margin.
template <int Margin> struct wait_with_margin : wait_for_faster {
    wait_with_margin() : wait_for_faster{Margin} {}
};

template <int Margin> run_result run_margin(const workload& plan) {
    return run_variant<fewest_remaining, wait_with_margin<Margin>>(plan);
}

run_result run_admit_all(const workload& plan) {
    return run_variant<fewest_remaining, wait_for_faster, admit_all>(plan);
}

run_result run_without_ejection(const workload& plan) {
    scheduler_tuning tuning;
    tuning.ejection.max_ejected_percent = 0;
    return run_variant<fewest_remaining>(plan, default_document(), tuning);
}

run_result run_without_retries(const workload& plan) {
    auto document = default_document();
    document.retry.budget_percent = 0;
    return run_variant<fewest_remaining>(plan, document);
}

run_result run_hedging(const workload& plan) {
    auto document = default_document();
    document.retry.hedge = true;
    return run_variant<fewest_remaining>(plan, document);
}

run_result run_naive(const workload& plan, bool queues_at_target) {
    naive_dispatcher policy{plan.parameters.seed};
    const environment_options environment{.has_owner = false, .queues_at_target = queues_at_target};
    return simulation<naive_dispatcher>{plan, policy, environment}.run();
}

run_result run_naive_queue(const workload& plan) {
    return run_naive(plan, true);
}
run_result run_naive_retry(const workload& plan) {
    return run_naive(plan, false);
}

struct named_policy {
    std::string_view name;
    run_result (*run)(const workload&);
};

constexpr std::array policies{
    named_policy{product_policy, run_product},
    named_policy{"order: fifo", run_fifo},
    named_policy{"order: fair share", run_fair_share},
    named_policy{"placement: fastest free", run_fastest_free},
    named_policy{"placement: margin 1", run_margin<1>},
    named_policy{"placement: margin 2", run_margin<2>},
    named_policy{"placement: margin 3", run_margin<3>},
    named_policy{"placement: margin 4", run_margin<4>},
    named_policy{"placement: margin 6", run_margin<6>},
    named_policy{"admission: all", run_admit_all},
    named_policy{"no ejection", run_without_ejection},
    named_policy{"no retries", run_without_retries},
    named_policy{"hedging", run_hedging},
    named_policy{naive_queue_policy, run_naive_queue},
    named_policy{naive_retry_policy, run_naive_retry},
};

constexpr auto names = [] {
    std::array<std::string_view, policies.size()> result{};
    for (std::size_t index = 0; index < policies.size(); ++index) {
        result.at(index) = policies.at(index).name;
    }
    return result;
}();

} // namespace detail

std::span<const std::string_view> policy_names() {
    return detail::names;
}

run_result run_policy(std::string_view policy, const workload& plan) {
    const auto found = std::find_if(detail::policies.begin(), detail::policies.end(),
                                    [policy](const auto& item) { return item.name == policy; });
    if (found == detail::policies.end()) {
        throw std::invalid_argument("unknown policy " + std::string{policy});
    }
    auto result = found->run(plan);
    result.policy = policy;
    return result;
}

} // namespace hawthornstall::policy_bench
