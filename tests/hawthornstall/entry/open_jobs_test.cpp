#include "hawthornstall/entry/open_jobs.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <string_view>

namespace hawthornstall::entry {
namespace {

open_job make_job(std::string_view key) {
    open_job job;
    if (!key.empty()) {
        job.submission = journal::submission_key{.issued = {}, .key = std::string{key}};
    }
    return job;
}

struct erase_case {
    std::string_view name;
    std::uint64_t erased;
    std::size_t left;
    bool is_first_known;
};

// Guards against a resubmission that joins a job which has ended, and against a job number that is
// used twice.
TEST_CASE("a job is found by its submission until it is erased") {
    constexpr std::array cases{
        erase_case{"submission", 1, 1, false},
        erase_case{"request without identifier", 2, 1, true},
        erase_case{"unknown number", 9, 2, true},
    };
    for (const auto& item : cases) {
        CAPTURE(item.name);
        open_jobs jobs;
        CHECK(jobs.add(make_job("a")) == 1);
        CHECK(jobs.add(make_job("")) == 2);
        jobs.erase(item.erased);
        CHECK(jobs.where([](const open_job&) { return true; }).size() == item.left);
        CHECK(jobs.number_of(*make_job("a").submission).has_value() == item.is_first_known);
        CHECK_FALSE(jobs.number_of(*make_job("b").submission));
        CHECK(jobs.find(item.erased) == nullptr);
        CHECK(jobs.next_number() == 3);
    }
}

} // namespace
} // namespace hawthornstall::entry
