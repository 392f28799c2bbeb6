#pragma once

/// An index of the free targets by speed.

#include "hawthornstall/scheduling/ids.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornstall::scheduling {

/// Position of a target in the index.
struct speed_position {
    std::uint8_t bucket = 0;
    std::optional<std::uint32_t> index_in_bucket; ///< Empty when the target is not free.
};

/// Targets with free capacity in 64 buckets of speed, from 1/16 to 16 in steps of 9 %. The fastest
/// bucket is found by one bit operation, and adding or removing a target is O(1). A sorted tree
/// would cost more and would order by differences in speed that are below the error of the
/// estimates.
class speed_index {
public:
    static constexpr std::size_t bucket_count = 64;

    /// Bucket of a speed; speeds out of range go into the first or last bucket.
    [[nodiscard]] static std::uint8_t bucket_of(double speed);

    /// Adds a target, which must not be in the index. `positions` has one element per target
    /// number.
    void add(target_id target, std::uint8_t bucket, std::vector<speed_position>& positions);
    /// Removes a target, which must be in the index.
    void remove(target_id target, std::vector<speed_position>& positions);

    /// Returns a target of the fastest bucket that has one other than `avoid`. The targets of a
    /// bucket are returned round robin, so that failures and load spread over them. Returns `avoid`
    /// only if no other target is free.
    [[nodiscard]] std::optional<target_id> pick(std::optional<target_id> avoid);

private:
    /// The next target of a bucket that is not empty; empty if it has only `avoid`.
    [[nodiscard]] std::optional<target_id> pick_from(std::size_t bucket,
                                                     std::optional<target_id> avoid);

    std::array<std::vector<target_id>, bucket_count> buckets_;
    std::uint64_t occupied_ = 0;  ///< Bit n is set when bucket n has a target.
    std::uint32_t next_turn_ = 0; ///< Round-robin counter of all buckets.
};

} // namespace hawthornstall::scheduling
