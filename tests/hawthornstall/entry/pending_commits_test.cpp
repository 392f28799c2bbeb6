#include "hawthornstall/entry/pending_commits.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::entry {
namespace {

struct commit_case {
    std::uint64_t committed;
    std::vector<std::string> taken;
    std::vector<std::string> left;
};

// Guards against a task or an answer that is sent before the journal has committed the record on
// which it depends.
TEST_CASE("items are returned in order once their append is committed") {
    const std::array cases{
        commit_case{0, {}, {"a", "b", "c", "d"}},
        commit_case{1, {"a"}, {"b", "c", "d"}},
        commit_case{2, {"a", "b", "c"}, {"d"}},
        commit_case{9, {"a", "b", "c", "d"}, {}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.committed);
        pending_commits<std::string> pending;
        pending.add(2, "b");
        pending.add(1, "a");
        pending.add(2, "c");
        pending.add(5, "d");
        CHECK(pending.contains("d"));
        CHECK(pending.take_committed(item.committed) == item.taken);
        CHECK(pending.take_all() == item.left);
        CHECK_FALSE(pending.contains("d"));
    }
}

// Guards against items that time out and are still returned by a later commit.
TEST_CASE("selected items can be taken before their append is committed") {
    pending_commits<std::string> pending;
    pending.add(1, "a");
    pending.add(2, "b");
    CHECK(pending.take_if([](const std::string& item) { return item == "b"; }) ==
          std::vector<std::string>{"b"});
    CHECK(pending.take_all() == std::vector<std::string>{"a"});
}

} // namespace
} // namespace hawthornstall::entry
