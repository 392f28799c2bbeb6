#include "hawthornstall/core/outcome.hpp"

#include <algorithm>
#include <array>

namespace hawthornstall::core {
namespace detail {

struct named_outcome {
    outcome_class outcome;
    std::string_view name;
};

constexpr std::array outcome_names{
    named_outcome{outcome_class::answered, "answered"},
    named_outcome{outcome_class::refused_not_run, "refused_not_run"},
    named_outcome{outcome_class::failed, "failed"},
    named_outcome{outcome_class::may_have_run, "may_have_run"},
};

} // namespace detail

std::string_view to_string(outcome_class outcome) noexcept {
    const auto* const found =
        std::ranges::find(detail::outcome_names, outcome, &detail::named_outcome::outcome);
    return found == detail::outcome_names.end() ? "unknown" : found->name;
}

std::optional<outcome_class> parse_outcome(std::string_view name) noexcept {
    const auto* const found =
        std::ranges::find(detail::outcome_names, name, &detail::named_outcome::name);
    if (found == detail::outcome_names.end()) {
        return std::nullopt;
    }
    return found->outcome;
}

} // namespace hawthornstall::core
