#pragma once

/// The concept of a capacity model.

#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/core/target.hpp"
#include "hawthornstall/scheduling/job_terms.hpp"

#include <concepts>
#include <cstdint>

namespace hawthornstall::scheduling {

/// Computes how many tasks of one service a target can hold. `Model::state` holds what the model
/// keeps for each target.
template <class Model>
concept capacity_model = std::constructible_from<Model, const core::task_shape&> &&
    std::default_initializable<typename Model::state> &&
    requires(const Model model, typename Model::state& state, const core::target_capacity& capacity,
             const usage_report& report, std::uint32_t in_flight) {
    model.resize(state, capacity); // Sets the announced capacity of the target.
    model.report(state, report);   // Takes the resource usage that the target reports.
    // Number of tasks that fit into an idle target.
    { model.total(state) } -> std::same_as<std::uint32_t>;
    // Number of tasks that fit besides `in_flight` tasks of this service.
    { model.free(state, in_flight) } -> std::same_as<std::uint32_t>;
};

} // namespace hawthornstall::scheduling
