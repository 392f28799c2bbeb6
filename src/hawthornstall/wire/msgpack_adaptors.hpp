#pragma once

/// Adaptors of the msgpack library for types with a wire layout, for core::time_ms and
/// core::duration_ms, and for variants. Internal to the codec and to the message layouts.

#include "hawthornstall/core/ms_clock.hpp"
#include "hawthornstall/wire/layout.hpp"

#include <msgpack.hpp>

#include <cstddef>
#include <cstdint>
#include <tuple>
#include <type_traits>
#include <utility>
#include <variant>

namespace hawthornstall::wire::detail {

/// Number of members in the wire layout of `Type`.
template <class Type>
constexpr std::size_t member_count =
    std::tuple_size_v<std::remove_cvref_t<decltype(layout<Type>::members)>>;

/// Decodes `body` into the alternative number `index` of `value`. Throws msgpack::type_error when
/// there is no such alternative.
template <class Variant, std::size_t Index = 0>
void convert_alternative(const msgpack::object& body, std::uint64_t index, Variant& value) {
    if constexpr (Index == std::variant_size_v<Variant>) {
        throw msgpack::type_error{};
    } else if (index == Index) {
        body.convert(value.template emplace<Index>());
    } else {
        convert_alternative<Variant, Index + 1>(body, index, value);
    }
}

} // namespace hawthornstall::wire::detail

namespace msgpack {
MSGPACK_API_VERSION_NAMESPACE(MSGPACK_DEFAULT_API_NS) {
    namespace adaptor {

    /// Structs are arrays of their members. A missing trailing member keeps its default value and
    /// an unknown one is ignored, so that hosts of two versions can exchange messages during a
    /// rolling upgrade.
    template <class Type>
    struct convert<Type, std::enable_if_t<hawthornstall::wire::struct_with_layout<Type>>> {
        const msgpack::object& operator()(const msgpack::object& source, Type& value) const {
            if (source.type != msgpack::type::ARRAY) {
                throw msgpack::type_error{};
            }
            std::size_t index = 0;
            const auto convert_member = [&](auto member) {
                if (index < source.via.array.size) {
                    source.via.array.ptr[index].convert(value.*member);
                }
                ++index;
            };
            std::apply([&](auto... members) { (convert_member(members), ...); },
                       hawthornstall::wire::layout<Type>::members);
            return source;
        }
    };

    template <class Type>
    struct pack<Type, std::enable_if_t<hawthornstall::wire::struct_with_layout<Type>>> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& target,
                                            const Type& value) const {
            target.pack_array(
                static_cast<std::uint32_t>(hawthornstall::wire::detail::member_count<Type>));
            std::apply([&](auto... members) { (target.pack(value.*members), ...); },
                       hawthornstall::wire::layout<Type>::members);
            return target;
        }
    };

    template <class Type>
    struct convert<Type, std::enable_if_t<hawthornstall::wire::enum_with_layout<Type>>> {
        const msgpack::object& operator()(const msgpack::object& source, Type& value) const {
            const auto number = source.as<std::uint64_t>();
            if (number > static_cast<std::uint64_t>(hawthornstall::wire::layout<Type>::last)) {
                throw msgpack::type_error{};
            }
            value = static_cast<Type>(number);
            return source;
        }
    };

    template <class Type>
    struct pack<Type, std::enable_if_t<hawthornstall::wire::enum_with_layout<Type>>> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& target, Type value) const {
            return target.pack(static_cast<std::uint64_t>(value));
        }
    };

    template <> struct convert<hawthornstall::core::duration_ms> {
        const msgpack::object& operator()(const msgpack::object& source,
                                          hawthornstall::core::duration_ms& value) const {
            value = hawthornstall::core::duration_ms{source.as<std::int64_t>()};
            return source;
        }
    };

    template <> struct pack<hawthornstall::core::duration_ms> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& target,
                                            hawthornstall::core::duration_ms value) const {
            return target.pack(value.count());
        }
    };

    template <> struct convert<hawthornstall::core::time_ms> {
        const msgpack::object& operator()(const msgpack::object& source,
                                          hawthornstall::core::time_ms& value) const {
            value = hawthornstall::core::from_count(source.as<std::int64_t>());
            return source;
        }
    };

    template <> struct pack<hawthornstall::core::time_ms> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& target,
                                            hawthornstall::core::time_ms value) const {
            return target.pack(hawthornstall::core::to_count(value));
        }
    };

    /// Variants are arrays of the index of the alternative and its value.
    template <class... Alternatives> struct convert<std::variant<Alternatives...>> {
        const msgpack::object& operator()(const msgpack::object& source,
                                          std::variant<Alternatives...>& value) const {
            constexpr std::uint32_t index_and_body = 2;
            if (source.type != msgpack::type::ARRAY || source.via.array.size != index_and_body) {
                throw msgpack::type_error{};
            }
            const auto index = source.via.array.ptr[0].as<std::uint64_t>();
            hawthornstall::wire::detail::convert_alternative(source.via.array.ptr[1], index, value);
            return source;
        }
    };

    template <class... Alternatives> struct pack<std::variant<Alternatives...>> {
        template <class Stream>
        msgpack::packer<Stream>& operator()(msgpack::packer<Stream>& target,
                                            const std::variant<Alternatives...>& value) const {
            target.pack_array(2);
            target.pack(static_cast<std::uint64_t>(value.index()));
            std::visit([&](const auto& alternative) { target.pack(alternative); }, value);
            return target;
        }
    };

    } // namespace adaptor
}
} // namespace msgpack
