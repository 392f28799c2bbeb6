#include "hawthornstall/core/request_numbers.hpp"
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
            config_client client{{}, 0};
            CHECK(client.tick(start_time).empty());
            CHECK_NOTHROW(CHECK(client.handle(host, item.message, start_time).empty()));
            CHECK(client.tick(start_time + core::duration_ms{10'000}).empty());
        }
    }
}

config_client client_of(std::uint64_t incarnation) {
    return {{"c1"}, core::last_earlier_number(incarnation)};
}

/// The only message to a control host among `effects`.
template <class Message> Message sent_message(const config_effects& effects) {
    REQUIRE(effects.size() == 1);
    const auto& sent = std::get<send_to_control_host>(effects.front());
    return std::get<Message>(sent.message);
}

control::control_to_entry edit_through(config_client& client) {
    const auto effects = client.edit({}, {}, start_time);
    return control::edit_reply{.number = sent_message<control::edit_request>(effects).number,
                               .answer = control::edit_answer{}};
}

control::control_to_entry audit_through(config_client& client) {
    const auto effects = client.audit({}, start_time);
    return control::audit_reply{.number = sent_message<control::audit_request>(effects).number,
                                .records = {}};
}

struct request_case {
    std::string_view name;
    control::control_to_entry (*request)(config_client& client); ///< Returns the reply.
};

// Guards against an operator who is told the result of another edit: a control host can still hold
// a request of an earlier process, and answer it when it knows the present one.
TEST_CASE("a reply to a request of an earlier process is ignored") {
    const std::array cases{
        request_case{"edit", edit_through},
        request_case{"audit", audit_through},
    };
    for (const auto& earlier : cases) {
        for (const auto& present : cases) {
            CAPTURE(earlier.name);
            CAPTURE(present.name);
            auto earlier_client = client_of(1'000);
            const auto late_reply = earlier.request(earlier_client);
            auto client = client_of(1'001);
            const auto reply = present.request(client);
            CHECK(client.handle("c1", late_reply, start_time).empty());
            CHECK(client.handle("c1", reply, start_time).size() == 1);
        }
    }
}

} // namespace
} // namespace hawthornstall::entry
