#pragma once

/// Description of message types for the codec, kept apart from the types themselves.

#include <concepts>
#include <tuple>
#include <type_traits>

namespace hawthornstall::wire {

/// Specialise for each message type with
/// `static constexpr auto members = std::tuple{&Type::first, ...};` in wire order, and for each
/// enumeration with `static constexpr Type last = ...;`, its largest valid value.
template <class Type> struct layout;

/// A class type with a layout.
template <class Type>
concept described_struct = std::is_class_v<Type> && requires {
    layout<Type>::members;
};

/// An enumeration with a layout.
template <class Type>
concept described_enum = std::is_enum_v<Type> && requires {
    { layout<Type>::last } -> std::convertible_to<Type>;
};

} // namespace hawthornstall::wire
