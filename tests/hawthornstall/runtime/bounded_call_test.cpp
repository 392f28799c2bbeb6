#include "hawthornstall/runtime/bounded_call.hpp"

#include <doctest/doctest.h>

#include <array>
#include <future>
#include <memory>
#include <string_view>

namespace hawthornstall::runtime {
namespace {

struct call_case {
    std::string_view name;
    bool returns; ///< Whether the call returns before ends_within() does.
    core::duration_ms limit;
};

// Guards against a shutdown or a loop task that blocks forever because a library call does not
// return.
TEST_CASE("a call that does not return blocks its caller only for the limit") {
    constexpr std::array cases{call_case{"returns", true, core::duration_ms{30'000}},
                               call_case{"does not return", false, core::duration_ms{50}}};
    for (const auto& item : cases) {
        CAPTURE(item.name);
        const auto release = std::make_shared<std::promise<void>>();
        const auto finished = std::make_shared<std::promise<void>>();
        if (item.returns) {
            release->set_value();
        }
        const auto begin = core::ms_clock::now();
        CHECK(ends_within(item.limit, [release, finished] {
                  release->get_future().wait();
                  finished->set_value();
              }) == item.returns);
        const bool waited = core::ms_clock::now() - begin >= item.limit;
        CHECK(waited == !item.returns);
        if (!item.returns) {
            release->set_value();
        }
        finished->get_future().wait();
    }
}

} // namespace
} // namespace hawthornstall::runtime
