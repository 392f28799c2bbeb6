#pragma once

/// Visitor that is composed of lambdas.

namespace hawthornstall::core {

/// Callable with the call operators of all `Handlers`, for std::visit().
template <class... Handlers> struct overloaded : Handlers... { using Handlers::operator()...; };

// Clang 14 lacks class template argument deduction for aggregates.
template <class... Handlers> overloaded(Handlers...) -> overloaded<Handlers...>;

} // namespace hawthornstall::core
