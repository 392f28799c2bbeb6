#pragma once

/// Free targets by speed.

#include "hawthornstall/scheduling/ids.hpp"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace hawthornstall::scheduling {

/// Position of a target in the index.
struct speed_position {
    std::uint8_t bucket = 0;
    std::optional<std::uint32_t> place; ///< Empty when the target is not free.
};

/// Targets with free capacity in 64 buckets of speed, from 1/16 to 16 in steps of 9 %. Finding the
/// fastest one costs one bit operation, adding and removing one costs O(1); a sorted tree would
/// cost more and would tell apart speeds that the estimates cannot tell apart.
class speed_index {
public:
    static constexpr std::size_t bucket_count = 64;

    [[nodiscard]] static std::uint8_t bucket_of(double speed);

    /// Adds or removes a target; it may be in the index at most once.
    void add(target_id target, std::uint8_t bucket, std::vector<speed_position>& positions);
    void remove(target_id target, std::vector<speed_position>& positions);

    /// A target of the fastest bucket that has one other than `avoid`; targets of equal speed take
    /// turns, so that failures and load spread over them. `avoid` is returned when it is the only
    /// free target.
    [[nodiscard]] std::optional<target_id> pick(std::optional<target_id> avoid);

private:
    [[nodiscard]] std::optional<target_id> pick_from(std::size_t bucket,
                                                     std::optional<target_id> avoid);

    std::array<std::vector<target_id>, bucket_count> free_;
    std::uint64_t occupied_ = 0; ///< Bit n is set when bucket n has a target.
    std::uint32_t turn_ = 0;
};

} // namespace hawthornstall::scheduling
