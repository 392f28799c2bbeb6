#pragma once

/// Composition of filters into a pipeline.

#include "hawthornstall/pipeline/filter.hpp"

#include <tuple>

namespace hawthornstall::pipeline {

/// A sequence of filters that is itself a filter. The first error is returned and the remaining
/// filters do not run.
template <class... Filters> class pipe {
public:
    explicit pipe(Filters... filters) : filters_(std::move(filters)...) {}

    template <class Input> [[nodiscard]] auto operator()(Input input) {
        return run_from<0>(std::move(input));
    }

private:
    template <std::size_t Index, class Input>
        requires filter<std::tuple_element_t<Index, std::tuple<Filters...>>, Input>
    auto run_from(Input input) {
        auto result = std::get<Index>(filters_)(std::move(input));
        if constexpr (Index + 1 == sizeof...(Filters)) {
            return result;
        } else {
            using next_result = decltype(run_from<Index + 1>(std::move(*result)));
            if (!result.ok()) {
                return next_result{result.status()};
            }
            return run_from<Index + 1>(std::move(*result));
        }
    }

    std::tuple<Filters...> filters_;
};

} // namespace hawthornstall::pipeline
