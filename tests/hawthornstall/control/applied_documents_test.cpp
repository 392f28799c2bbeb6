#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/control/document_store.hpp"
#include "hawthornstall/control/sample_edits.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string_view>

namespace hawthornstall::control {
namespace {

constexpr core::time_ms start = core::from_count(10'000);

config_digest digest_of(const document_store& store, core::duration_ms age = {}) {
    return {store.revision(), versions_hash(store.documents()), age};
}

struct delta_case {
    std::string_view name;
    std::uint64_t base_revision; ///< Revision of the copy before the delta.
    std::uint64_t from_revision; ///< Start of the delta, which always ends at revision 3.
    std::uint64_t revision;      ///< Revision of the copy afterwards.
    digest_outcome outcome;
};

// Guards against a copy that counts as confirmed although it misses a change.
TEST_CASE("a delta with a gap does not count as complete") {
    constexpr std::array cases{
        delta_case{"first", 0, 0, 3, digest_outcome::confirmed},
        delta_case{"next", 1, 1, 3, digest_outcome::confirmed},
        delta_case{"overlapping", 2, 0, 3, digest_outcome::confirmed},
        delta_case{"repeated", 3, 2, 3, digest_outcome::confirmed},
        delta_case{"gap", 1, 2, 1, digest_outcome::behind},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        document_store store;
        applied_documents copy;
        for (std::uint64_t version = 0; version < 3; ++version) {
            if (version == test.base_revision) {
                copy.apply(store.delta_after(0));
            }
            const auto service = "service-" + std::to_string(version);
            store.apply(make_edit("e" + service, 0, service));
        }
        if (test.base_revision == 3) {
            copy.apply(store.delta_after(0));
        }
        copy.apply(store.delta_after(test.from_revision));
        CHECK(copy.revision() == test.revision);
        CHECK(copy.check(digest_of(store), start) == test.outcome);
        copy.apply(store.delta_after(copy.revision()));
        CHECK(copy.check(digest_of(store), start) == digest_outcome::confirmed);
    }
}

// Guards against versions that decrease when a lagging control host sends an old delta, also to a
// copy that was restored after a restart.
TEST_CASE("versions never decrease") {
    document_store store;
    store.apply(make_edit("first", 0));
    const auto old_delta = store.delta_after(0);
    const auto old_digest = digest_of(store);
    store.apply(make_edit("second", 1));
    applied_documents copy;
    CHECK(copy.apply(store.delta_after(0)) == std::vector<std::string_view>{"routes"});
    CHECK(copy.apply(old_delta).empty());
    CHECK(copy.find("routes")->version == 2);
    CHECK(copy.check(old_digest, start) == digest_outcome::control_behind);
    CHECK_FALSE(copy.last_confirmed().has_value());

    applied_documents restarted;
    restarted.apply(copy.as_full_delta());
    CHECK(restarted.apply(old_delta).empty());
    CHECK(restarted.find("routes")->version == 2);
    CHECK(restarted.may_be_stale(start));
}

// Guards against a copy that counts as confirmed although its content differs at the same revision.
TEST_CASE("different content under the same revision is detected") {
    document_store store;
    store.apply(make_edit("first", 0));
    applied_documents copy;
    copy.apply({0, 1, {}});
    CHECK(copy.check(digest_of(store), start) == digest_outcome::differs);
    copy.apply(store.delta_after(0));
    CHECK(copy.check(digest_of(store), start) == digest_outcome::confirmed);
}

struct stale_case {
    core::duration_ms confirmation_age;
    core::duration_ms waited;
    bool stale;
};

// Guards against a partitioned host that serves outdated documents without reporting it.
TEST_CASE("a copy without recent confirmation may be stale") {
    using core::duration_ms;
    constexpr std::array cases{
        stale_case{duration_ms{0}, duration_ms{5'000}, false},
        stale_case{duration_ms{0}, duration_ms{5'001}, true},
        stale_case{duration_ms{4'000}, duration_ms{1'000}, false},
        stale_case{duration_ms{4'000}, duration_ms{1'001}, true},
    };
    for (const auto& test : cases) {
        const document_store store;
        applied_documents copy;
        CHECK(copy.may_be_stale(start));
        CHECK(copy.check(digest_of(store, test.confirmation_age), start) ==
              digest_outcome::confirmed);
        // An older confirmation that arrives late does not make the copy stale earlier.
        CHECK(copy.check(digest_of(store, duration_ms{9'000}), start) == digest_outcome::confirmed);
        CHECK(copy.may_be_stale(start + test.waited) == test.stale);
    }
}

} // namespace
} // namespace hawthornstall::control
