#pragma once

/// Concept of the capacity models.

#include "hawthornstall/core/service_document.hpp"
#include "hawthornstall/core/target.hpp"
#include "hawthornstall/scheduling/job_terms.hpp"

#include <concepts>
#include <cstdint>

namespace hawthornstall::scheduling {

/// Tells how many tasks of one service a target can hold. `Model::state` is what it keeps per
/// target.
template <class Model>
concept capacity_model = std::constructible_from<Model, const core::task_shape&> &&
    std::default_initializable<typename Model::state> &&
    requires(const Model model, typename Model::state& state, const core::target_capacity& capacity,
             const usage_report& report, std::uint32_t in_flight) {
    model.resize(state, capacity);
    model.report(state, report);
    { model.total(state) } -> std::same_as<std::uint32_t>;           // tasks in an empty target
    { model.free(state, in_flight) } -> std::same_as<std::uint32_t>; // tasks beside `in_flight`
};

} // namespace hawthornstall::scheduling
