#pragma once

/// Concepts of the pipes-and-filters layout.

#include <absl/status/statusor.h>

#include <concepts>
#include <type_traits>
#include <utility>

namespace hawthornstall::pipeline {
namespace detail {

template <class Type> struct is_status_or : std::false_type {};

template <class Value> struct is_status_or<absl::StatusOr<Value>> : std::true_type {};

} // namespace detail

/// Value that a filter passes on for an input of type `Input`.
template <class Filter, class Input>
using filter_output = typename std::invoke_result_t<Filter&, Input>::value_type;

/// A filter takes one value and either passes one on or stops the pipeline with an error.
template <class Filter, class Input>
concept filter = std::invocable<Filter&, Input> &&
    detail::is_status_or<std::invoke_result_t<Filter&, Input>>::value;

/// A sink ends a pipeline: it takes the last filter's value or the first error.
template <class Sink, class Value>
concept sink = std::invocable<Sink&, absl::StatusOr<Value>>;

} // namespace hawthornstall::pipeline
