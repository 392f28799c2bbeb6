#pragma once

/// Concepts of the pipes-and-filters architecture.

#include <absl/status/statusor.h>

#include <concepts>
#include <type_traits>
#include <utility>

namespace hawthornstall::pipeline {
namespace detail {

template <class Type> struct is_status_or : std::false_type {};

template <class Value> struct is_status_or<absl::StatusOr<Value>> : std::true_type {};

} // namespace detail

/// Type of the value that `Filter` returns for an input of type `Input`.
template <class Filter, class Input>
using filter_output = typename std::invoke_result_t<Filter&, Input>::value_type;

/// A stage of a pipeline: takes one value and returns the value for the next stage, or an error
/// that ends the pipeline.
template <class Filter, class Input>
concept filter = std::invocable<Filter&, Input> &&
    detail::is_status_or<std::invoke_result_t<Filter&, Input>>::value;

/// The end of a pipeline: takes the value of the last filter, or the first error.
template <class Sink, class Value>
concept sink = std::invocable<Sink&, absl::StatusOr<Value>>;

} // namespace hawthornstall::pipeline
