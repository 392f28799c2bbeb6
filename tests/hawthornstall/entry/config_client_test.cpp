#include "hawthornstall/entry/config_client.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::entry {
namespace {

constexpr core::time_ms start_time = core::from_count(1'000'000);

struct message_case {
    std::string_view name;
    control::control_to_entry message;
};

// Guards against an exception in a client without control hosts when another host sends it a
// message.
TEST_CASE("a client without control hosts ignores every message and sends none") {
    const std::array cases{
        message_case{"delta", control::config_delta{}},
        message_case{"digest", control::config_digest{}},
        message_case{"digest of a later revision", control::config_digest{.revision = 7}},
        message_case{"reply to an edit", control::edit_reply{.number = 1}},
        message_case{"audit records", control::audit_reply{1, {}}},
    };
    for (const auto& item : cases) {
        for (const std::string_view host : {"c1", ""}) {
            CAPTURE(item.name);
            CAPTURE(host);
            config_client client{{}};
            CHECK(client.tick(start_time).empty());
            CHECK_NOTHROW(CHECK(client.handle(host, item.message, start_time).empty()));
            CHECK(client.tick(start_time + core::duration_ms{10'000}).empty());
        }
    }
}

} // namespace
} // namespace hawthornstall::entry
