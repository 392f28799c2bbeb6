#pragma once

/// Wire layouts: which members of a type the codec encodes, and in which order. They are kept apart
/// from the types, so that the types do not depend on the encoding.

#include <concepts>
#include <tuple>
#include <type_traits>

namespace hawthornstall::wire {

/// Wire layout of `Type`. A specialisation for a struct defines
/// `static constexpr auto members = std::tuple{&Type::first, ...};` in wire order. One for an
/// enumeration defines `static constexpr Type last = ...;`, its largest valid value.
template <class Type> struct layout;

/// A class type with a wire layout.
template <class Type>
concept struct_with_layout = std::is_class_v<Type> && requires {
    layout<Type>::members;
};

/// An enumeration with a wire layout.
template <class Type>
concept enum_with_layout = std::is_enum_v<Type> && requires {
    { layout<Type>::last } -> std::convertible_to<Type>;
};

} // namespace hawthornstall::wire
