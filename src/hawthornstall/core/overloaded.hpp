#pragma once

/// Visitor made of lambdas.

namespace hawthornstall::core {

/// One callable with the call operators of all `Handlers`, for std::visit.
template <class... Handlers> struct overloaded : Handlers... { using Handlers::operator()...; };

// clang 14 does not deduce the arguments of an aggregate by itself.
template <class... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace hawthornstall::core
