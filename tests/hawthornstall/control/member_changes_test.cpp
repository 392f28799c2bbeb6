#include "hawthornstall/control/member_changes.hpp"

#include <doctest/doctest.h>

#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {
namespace {

/// Members named by one letter, each the host and its storage identifier.
std::vector<member_id> members(std::string_view letters) {
    std::vector<member_id> found;
    for (const char letter : letters) {
        found.push_back({.host = std::string{letter}, .storage_id = 1});
    }
    return found;
}

struct change_case {
    std::string_view name;
    std::string_view voters;
    std::string_view learners;
    std::string_view joining;
    std::string_view caught_up;
    std::string_view silent;
    std::string_view voters_after;
    std::string_view learners_after;
};

constexpr std::array change_cases{
    change_case{"nothing to do", "abc", "", "", "", "", "abc", ""},
    change_case{"a joining host becomes a learner", "abc", "", "d", "", "", "abc", "d"},
    change_case{"a learner that lags waits", "abc", "d", "", "", "", "abc", "d"},
    change_case{"a learner that has caught up votes", "abc", "d", "", "d", "", "abcd", ""},
    change_case{"a silent learner waits", "abc", "d", "", "d", "d", "abc", "d"},
    change_case{"one of an even number is silent", "abcd", "", "", "", "b", "acd", ""},
    change_case{"one of an odd number is silent", "abc", "", "", "", "b", "abc", ""},
    change_case{"a silent voter leaves before another joins", "abcd", "e", "", "e", "b", "acd",
                "e"},
    change_case{"one at a time", "abcdef", "", "", "", "bc", "acdef", ""},
    change_case{"the last two stay", "ab", "", "", "", "b", "ab", ""},
    change_case{"the first learner waits for another one", "a", "bc", "", "b", "", "a", "bc"},
    change_case{"it waits for a host that joins", "a", "b", "c", "b", "", "a", "bc"},
    change_case{"it doesn't wait for a silent one", "a", "bc", "", "b", "c", "ab", "c"},
    change_case{"two hosts only", "a", "b", "", "b", "", "ab", ""},
    change_case{"the first learners vote together", "a", "bcd", "e", "bc", "", "abc", "d"},
    change_case{"the leader stays", "abcd", "", "", "", "a", "abcd", ""},
};

// Guards against a voter that is gone and keeps its vote, and against a removal that lowers the
// number of losses which the voters tolerate.
TEST_CASE("the next member change") {
    for (const auto& test : change_cases) {
        CAPTURE(test.name);
        const member_set current{members(test.voters), members(test.learners)};
        const member_set expected{members(test.voters_after), members(test.learners_after)};
        const auto joining = members(test.joining);
        const auto caught_up = members(test.caught_up);
        const auto silent = members(test.silent);
        const auto changed =
            next_member_change(current, {.host = "a", .storage_id = 1},
                               {.joining = joining, .caught_up = caught_up, .silent = silent});
        CHECK(changed.value_or(current) == expected);
    }
}

} // namespace
} // namespace hawthornstall::control
