#include "hawthornstall/control/document_layouts.hpp"
#include "hawthornstall/control/document_store.hpp"
#include "hawthornstall/control/sample_edits.hpp"
#include "hawthornstall/wire/codec.hpp"

#include <doctest/doctest.h>

#include <array>
#include <functional>
#include <string_view>

namespace hawthornstall::control {
namespace {

struct edit_case {
    std::string_view name;
    std::function<void(edit_command&)> change; ///< Applied to a valid edit of version 1.
    edit_answer answer;
};

const std::array edit_cases{
    edit_case{"valid", [](auto&) {}, {edit_result::accepted, 2}},
    edit_case{"old base", [](auto& e) { e.base_version = 0; }, {edit_result::version_conflict, 1}},
    edit_case{
        "future base", [](auto& e) { e.base_version = 2; }, {edit_result::version_conflict, 1}},
    edit_case{"other team", [](auto& e) { e.actor_team = "bikes"; }, {edit_result::not_owner, 1}},
    edit_case{"other team changes the owner to itself",
              [](auto& e) { e.actor_team = e.document.team = "bikes"; },
              {edit_result::not_owner, 1}},
    edit_case{"owner changes the owner to another team",
              [](auto& e) { e.document.team = "bikes"; },
              {edit_result::not_owner, 1}},
    edit_case{
        "other service", [](auto& e) { e.document.service = "x"; }, {edit_result::invalid, 1}},
    edit_case{"no identifier", [](auto& e) { e.edit_id.clear(); }, {edit_result::invalid, 1}},
    edit_case{"long identifier",
              [](auto& e) { e.edit_id = std::string(129, 'i'); },
              {edit_result::invalid, 1}},
    edit_case{"too many callers",
              [](auto& e) { e.document.accepts.callers.assign(257, "c"); },
              {edit_result::invalid, 1}},
    edit_case{"resent through another host",
              [](auto& e) { e = make_edit("first", 0), e.host = "entry-2"; },
              {edit_result::accepted, 1}},
    edit_case{"identifier with other content",
              [](auto& e) { e.edit_id = "first"; },
              {edit_result::id_reused, 0}},
    edit_case{"identifier with another document",
              [](auto& e) { e = make_edit("first", 0), e.document.task.cores = 7; },
              {edit_result::id_reused, 0}},
};

// Guards against lost updates, edits by teams that do not own the document, and resent edits that
// are applied twice or answered differently.
TEST_CASE("edits are evaluated by version, owner and identifier") {
    for (const auto& test : edit_cases) {
        CAPTURE(test.name);
        document_store store;
        CHECK(store.apply(make_edit("first", 0)) == edit_answer{edit_result::accepted, 1});
        const auto before = store.snapshot();
        auto edit = make_edit("second", 1);
        test.change(edit);
        const auto answer = store.apply(edit);
        CHECK(answer == test.answer);
        const bool changed = answer == edit_answer{edit_result::accepted, 2};
        CHECK(store.find("routes")->version == (changed ? 2 : 1));
        CHECK(store.audit_after(0, 10).size() == (changed ? 2 : 1));
        CHECK((store.snapshot().documents == before.documents) == !changed);
        CHECK(store.apply(edit) == answer);
    }
}

// Guards against audit records that do not show who changed what, when and through which host.
TEST_CASE("accepted edits leave an audit record") {
    document_store store;
    store.apply(make_edit("first", 0));
    auto second = make_edit("second", 1);
    second.host = "entry-2";
    store.apply(second);
    const auto audit = store.audit_after(1, 10);
    REQUIRE(audit.size() == 1);
    CHECK(audit[0] == audit_record{2, "second", "routes", "ana", "vans", 1, 2,
                                   core::from_count(1'764'800'000'000), "entry-2"});
    CHECK(store.audit_after(0, 1).size() == 1);
    CHECK(store.audit_after(2, 10).empty());
}

// Guards against first answers, audit records or versions that a snapshot loses.
TEST_CASE("a restored store behaves like the original") {
    document_store original;
    original.apply(make_edit("first", 0));
    original.apply(make_edit("winner", 1));
    original.apply(make_edit("loser", 1));
    original.apply(make_edit("other", 0, "lights"));
    const auto snapshot = wire::decode<store_snapshot>(wire::encode(original.snapshot()));
    REQUIRE(snapshot.ok());
    document_store restored;
    restored.restore(*snapshot);
    CHECK(restored.snapshot() == original.snapshot());
    CHECK(restored.apply(make_edit("winner", 1)) == edit_answer{edit_result::accepted, 2});
    CHECK(restored.apply(make_edit("loser", 1)) == edit_answer{edit_result::version_conflict, 2});
    CHECK(restored.apply(make_edit("next", 2)) == original.apply(make_edit("next", 2)));
    CHECK(restored.snapshot() == original.snapshot());
}

// Guards against memory that grows with the number of edits, and against an edit that is accepted a
// second time after its answer was evicted from the cache.
TEST_CASE("memory is bounded and an evicted edit is not accepted again") {
    const store_bounds bounds{.max_documents = 2, .max_answered_edits = 4, .max_audit_records = 8};
    document_store store{bounds};
    for (std::uint64_t version = 0; version < 100; ++version) {
        CHECK(store.apply(make_edit("e" + std::to_string(version), version)).version ==
              version + 1);
        store.apply(make_edit("refused" + std::to_string(version), 0));
    }
    const auto snapshot = store.snapshot();
    CHECK(snapshot.audit.size() <= bounds.max_audit_records);
    CHECK(snapshot.audit.back().revision == 100);
    CHECK(snapshot.accepted_edits.size() == bounds.max_answered_edits);
    CHECK(snapshot.refused_edits.size() == bounds.max_answered_edits);
    CHECK(store.apply(make_edit("e0", 0)) == edit_answer{edit_result::version_conflict, 100});
    CHECK(store.apply(make_edit("b", 0, "b")).result == edit_result::accepted);
    CHECK(store.apply(make_edit("c", 0, "c")).result == edit_result::store_full);

    document_store small{{.max_total_document_bytes = 2 * sizeof(core::service_document)}};
    CHECK(small.apply(make_edit("a", 0, "a")).result == edit_result::accepted);
    CHECK(small.apply(make_edit("b", 0, "b")).result == edit_result::store_full);
    CHECK(small.apply(make_edit("a2", 1, "a")).result == edit_result::accepted);
}

// Guards against a numbered configuration, or its audit record, that a snapshot loses.
TEST_CASE("a numbered configuration survives a snapshot") {
    document_store store;
    const numbered_config config{
        .version = 7, .content = "seven", .actor = "operator", .host = "control-0"};
    CHECK(store.apply(config).version == 7);
    document_store copy;
    copy.restore(store.snapshot());
    CHECK(copy.numbered() == config);
    REQUIRE(copy.audit_after(0, 10).size() == 1);
    CHECK(copy.audit_after(0, 10)[0].to_version == 7);
    REQUIRE(copy.delta_after(0).numbered.has_value());
    CHECK_FALSE(copy.delta_after(copy.revision()).numbered.has_value());
}

} // namespace
} // namespace hawthornstall::control
