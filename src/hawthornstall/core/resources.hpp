#pragma once

/// Processor, memory and accelerators that a task requests or a target has.

#include <algorithm>
#include <cstdint>

namespace hawthornstall::core {

/// An amount of each resource. Differences may be negative, since a target can be over its
/// capacity.
struct resources {
    std::int64_t cpu_millis = 0; ///< Thousandths of a core.
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const resources&) const = default;

    resources& operator+=(const resources& other) noexcept {
        cpu_millis += other.cpu_millis;
        memory_mb += other.memory_mb;
        accelerators += other.accelerators;
        return *this;
    }

    resources& operator-=(const resources& other) noexcept {
        cpu_millis -= other.cpu_millis;
        memory_mb -= other.memory_mb;
        accelerators -= other.accelerators;
        return *this;
    }

    friend resources operator+(resources left, const resources& right) noexcept {
        return left += right;
    }
    friend resources operator-(resources left, const resources& right) noexcept {
        return left -= right;
    }

    /// The smaller amount of each kind.
    friend resources smallest(const resources& left, const resources& right) noexcept {
        return {.cpu_millis = std::min(left.cpu_millis, right.cpu_millis),
                .memory_mb = std::min(left.memory_mb, right.memory_mb),
                .accelerators = std::min(left.accelerators, right.accelerators)};
    }

    /// Whether `needed` fits into these resources.
    [[nodiscard]] bool holds(const resources& needed) const noexcept {
        return needed.cpu_millis <= cpu_millis && needed.memory_mb <= memory_mb &&
               needed.accelerators <= accelerators;
    }
};

} // namespace hawthornstall::core
