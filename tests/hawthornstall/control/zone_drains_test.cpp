#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/consensus_layouts.hpp"
#include "hawthornstall/control/document_layouts.hpp"
#include "hawthornstall/control/document_store.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/control/zone_rows.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::control {

/// Snapshot as builds without drains wrote it.
struct snapshot_without_drains {
    std::uint64_t revision = 0;
    std::vector<core::service_document> documents;
    std::vector<std::uint64_t> changed_at_revision;
    std::vector<audit_record> audit;
    std::vector<answered_edit> accepted_edits;
    std::vector<answered_edit> refused_edits;
    numbered_config numbered;
    std::uint64_t numbered_at_revision = 0;
};

} // namespace hawthornstall::control

namespace hawthornstall::wire {

template <> struct layout<control::snapshot_without_drains> {
    using type = control::snapshot_without_drains;
    static constexpr auto members =
        std::tuple{&type::revision, &type::documents,           &type::changed_at_revision,
                   &type::audit,    &type::accepted_edits,      &type::refused_edits,
                   &type::numbered, &type::numbered_at_revision};
};

} // namespace hawthornstall::wire

namespace hawthornstall::control {
namespace {

zone_drain_order drain(std::string zone) {
    return {.zone = std::move(zone), .drained = true, .actor = "operator", .host = "control-1"};
}

zone_drain_order undrain(std::string zone) {
    return {.zone = std::move(zone), .drained = false, .actor = "operator", .host = "control-1"};
}

struct order_case {
    std::string_view name;
    std::vector<zone_drain_order> orders;
    std::vector<std::string> drained;
    std::uint64_t revision = 0; ///< Number of orders that changed something.
};

// Guards against an order that is lost, refused when it is sent again, or undone by a repetition of
// an order for another zone.
TEST_CASE("the last order for a zone holds, and repeated ones change nothing") {
    const std::array cases{
        order_case{"none", {}, {}, 0},
        order_case{"drain", {drain("b")}, {"b"}, 1},
        order_case{"drained twice", {drain("b"), drain("b")}, {"b"}, 1},
        order_case{"end", {drain("b"), undrain("b")}, {}, 2},
        order_case{"end without a drain", {undrain("b")}, {}, 0},
        order_case{"drained again", {drain("b"), undrain("b"), drain("b")}, {"b"}, 3},
        order_case{"two zones in any order", {drain("c"), drain("a")}, {"a", "c"}, 2},
        order_case{"two operators", {drain("a"), drain("b"), undrain("a")}, {"b"}, 3},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        document_store store;
        for (const auto& order : item.orders) {
            CHECK(store.apply(order).result == edit_result::accepted);
        }
        CHECK(store.drains().zones == item.drained);
        CHECK(store.revision() == item.revision);
        CHECK(store.drains().revision == item.revision);
        CHECK(store.audit_after(0, 10).size() == item.revision);
    }
}

// Guards against names and numbers of zones that let the state of the control hosts grow.
TEST_CASE("the drained zones are bounded") {
    document_store store{store_bounds{.max_drained_zones = 2}};
    CHECK(store.apply(drain("")).result == edit_result::invalid);
    CHECK(store.apply(drain(std::string(129, 'z'))).result == edit_result::invalid);
    CHECK(store.apply(drain("a")).result == edit_result::accepted);
    CHECK(store.apply(drain("b")).result == edit_result::accepted);
    CHECK(store.apply(drain("c")).result == edit_result::store_full);
    CHECK(store.apply(drain("b")).result == edit_result::accepted);
    CHECK(store.apply(undrain("a")).result == edit_result::accepted);
    CHECK(store.apply(drain("c")).result == edit_result::accepted);
}

// Guards against a drain that a snapshot or a log entry loses, and against a control host that
// cannot read what an earlier build wrote.
TEST_CASE("drains survive encoding, and a snapshot of an earlier build holds none") {
    document_store store;
    store.apply(make_edit("first", 0));
    store.apply(drain("bilbao"));
    const auto copy = wire::decode<store_snapshot>(wire::encode(store.snapshot()));
    REQUIRE(copy.ok());
    CHECK(*copy == store.snapshot());

    const log_entry entry{.position = {1, 2}, .payload = drain("bilbao")};
    const auto decoded = wire::decode<log_entry>(wire::encode(entry));
    REQUIRE(decoded.ok());
    CHECK(*decoded == entry);

    const auto state = store.snapshot();
    const snapshot_without_drains earlier{.revision = state.revision,
                                          .documents = state.documents,
                                          .changed_at_revision = state.changed_at_revision,
                                          .audit = state.audit,
                                          .accepted_edits = state.accepted_edits,
                                          .refused_edits = state.refused_edits,
                                          .numbered = state.numbered,
                                          .numbered_at_revision = state.numbered_at_revision};
    const auto upgraded = wire::decode<store_snapshot>(wire::encode(earlier));
    REQUIRE(upgraded.ok());
    CHECK(upgraded->documents == state.documents);
    CHECK(upgraded->drains == zone_drains{});
}

struct delta_case {
    std::string_view name;
    std::vector<std::size_t> arrivals; ///< Numbers of orders after which a delta was made.
    std::vector<std::string> drained;
};

// Guards against an entry host that goes back to earlier drains when a delta of a control host that
// lags arrives late.
TEST_CASE("an entry host keeps the latest drains whatever order the deltas arrive in") {
    const std::array orders{drain("a"), drain("b"), undrain("a")};
    const std::array cases{
        delta_case{"in order", {1, 2, 3}, {"b"}},
        delta_case{"late delta", {3, 1}, {"b"}},
        delta_case{"repeated", {2, 2}, {"a", "b"}},
        delta_case{"only the last", {3}, {"b"}},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        applied_documents copy;
        for (const auto count : item.arrivals) {
            document_store store;
            for (std::size_t index = 0; index < count; ++index) {
                store.apply(orders.at(index));
            }
            copy.apply(store.delta_after(0));
        }
        CHECK(copy.drains().zones == item.drained);
        applied_documents restarted;
        restarted.apply(copy.as_full_delta());
        CHECK(restarted.drains() == copy.drains());
    }
}

// Guards against a delta that repeats drains which the entry host has, or leaves out new ones.
TEST_CASE("a delta has the drains only when they have changed since") {
    document_store store;
    store.apply(drain("a"));
    store.apply(make_edit("first", 0));
    CHECK(store.delta_after(0).drains.has_value());
    CHECK_FALSE(store.delta_after(1).drains.has_value());
    store.apply(undrain("a"));
    REQUIRE(store.delta_after(2).drains.has_value());
    CHECK(store.delta_after(2).drains->zones.empty());
}

// Guards against an operator who does not see a zone that is drained but not listed.
TEST_CASE("operators see the listed zones and the drained ones") {
    const std::vector<std::string> listed{"b", "a"};
    const auto rows = zone_rows(listed, {.revision = 7, .zones = {"b", "c"}});
    REQUIRE(rows.size() == 3);
    CHECK(rows[0].name == "a");
    CHECK_FALSE(rows[0].drained);
    CHECK(rows[1].drained);
    CHECK(rows[2].name == "c");
    CHECK(rows[2].drained);
    CHECK(rows[2].revision == 7);
}

} // namespace
} // namespace hawthornstall::control
