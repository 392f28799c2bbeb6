#include "hawthornstall/net/http_server.hpp"
#include "load/load_run.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace hawthornstall::tools {
namespace {

using core::duration_ms;
using core::outcome_class;

struct answer_case {
    std::string name;
    net::exchange_result result;
    verdict expected;
};

const core::submission_id job_id{.zone = "z", .generation = 1, .issued = {}, .key = "k"};

// Guards against counting a partial answer, or the answer to another job, as answered. Such an
// answer breaks the guarantees G2 and G3, which the load tool checks.
TEST_CASE("answers are classified by identifier, count and content") {
    using enum net::exchange_outcome;
    core::job_request job;
    job.id = job_id;
    job.tasks = {{"a", {}}, {"b", {}}};
    const auto with_body = [](const std::string& body) {
        return net::exchange_result{.outcome = net::exchange_outcome::answered, .body = body};
    };
    const std::array<std::string, 7> bodies{
        R"({"submission_id":"z.1.0.k","outcome":"answered","results":["a","b"]})",
        R"({"submission_id":"z.1.0.other","outcome":"answered","results":["a","b"]})",
        R"({"submission_id":"z.1.0.k","outcome":"answered","results":["b","a"]})",
        R"({"submission_id":"z.1.0.k","outcome":"answered","results":["a"]})",
        R"({"outcome":"refused_not_run"})",
        R"({"outcome":"may_have_run"})",
        "<html>",
    };
    const std::array cases{
        answer_case{"whole", with_body(bodies[0]), verdict::answered},
        answer_case{"other identifier", with_body(bodies[1]), verdict::crossed},
        answer_case{"other order", with_body(bodies[2]), verdict::crossed},
        answer_case{"fewer results", with_body(bodies[3]), verdict::partial},
        answer_case{"refused", with_body(bodies[4]), verdict::refused_not_run},
        answer_case{"unknown", with_body(bodies[5]), verdict::may_have_run},
        answer_case{"not JSON", with_body(bodies[6]), verdict::unreadable},
        answer_case{"not sent", {.outcome = not_sent}, verdict::not_sent},
        answer_case{"broken", {.outcome = broken}, verdict::missing},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        CHECK(check_answer(job, test.result) == test.expected);
    }
}

// Guards against quantiles whose error exceeds the width of a bucket.
TEST_CASE("quantiles are exact to an eighth") {
    for (const std::int64_t largest : {1, 7, 100, 5000, 1'000'000}) {
        latency_histogram histogram;
        for (std::int64_t ms = 0; ms <= largest; ms += 1 + largest / 1000) {
            histogram.add(duration_ms{ms});
        }
        for (const double share : {0.5, 0.9, 0.99, 1.0}) {
            const auto exact = share * static_cast<double>(largest);
            const auto found = static_cast<double>(histogram.quantile(share).count());
            CAPTURE(largest);
            CAPTURE(share);
            CHECK(found >= exact * 0.97 - 1.0);
            CHECK(found <= exact * 1.16 + 1.0);
        }
    }
    CHECK(latency_histogram{}.quantile(0.5) == duration_ms{0});
}

/// Stand-in for an entry host that runs on the event loop of the load run and answers jobs by a
/// rule.
class rule_based_entry_host {
public:
    using rule = std::function<std::string(const core::job_request&, std::size_t number)>;

    rule_based_entry_host(runtime::event_loop& loop, rule answer)
        : answer_(std::move(answer)),
          server_(loop, "127.0.0.1:0", {},
                  [this](const net::http_request& request) { receive(request); }) {
        REQUIRE(server_.start().ok());
    }

    [[nodiscard]] std::string address() const { return std::string{server_.address()}; }

    std::vector<std::string> ids;

private:
    void receive(const net::http_request& request) {
        if (request.path == "/v1/submission-ids") {
            server_.answer(request.number, {.body = R"({"submission_id":"z.1.0.issued"})"});
            return;
        }
        const auto job = http::decode_job_request(request.body, {.service = "s", .caller = "c"});
        REQUIRE(job.ok());
        ids.push_back(job->id ? core::to_string(*job->id) : "");
        const auto body = answer_(*job, ids.size());
        if (!body.empty()) {
            server_.answer(request.number, {.body = body});
        }
    }

    rule answer_;
    net::http_server server_;
};

std::string echo(const core::job_request& job, std::size_t /*number*/) {
    core::job_answer answer{.id = job.id,
                            .outcome = outcome_class::answered,
                            .reason = {},
                            .retry_after = {},
                            .results = {}};
    for (const auto& task : job.tasks) {
        answer.results.push_back(task.payload);
    }
    return http::encode_job_answer(answer).body;
}

struct run_case {
    std::string name;
    call_form form;
    bool idempotent;
    std::size_t resubmits;
    rule_based_entry_host::rule rule;
    std::uint64_t answered;
    std::uint64_t faults;
    std::uint64_t resubmitted;
};

// Guards against faults that are not counted, which would leave the exit code at 0, and against
// runs that do not end.
TEST_CASE("a load run counts every job once and finds faulty answers") {
    const auto no_second_answer = [](const core::job_request& job, std::size_t number) {
        return number == 2 ? std::string{} : echo(job, number);
    };
    const auto no_results = [](const core::job_request&, std::size_t) {
        return std::string{R"({"outcome":"answered","results":[]})"};
    };
    const std::array cases{
        run_case{"jobs", call_form::job, false, 0, echo, 20, 0, 0},
        run_case{"requests", call_form::request, true, 0, echo, 20, 0, 0},
        run_case{"partial", call_form::job, false, 0, no_results, 0, 20, 0},
        run_case{"one missing", call_form::job, false, 0, no_second_answer, 19, 1, 0},
        run_case{"one resubmitted", call_form::job, false, 1, no_second_answer, 20, 0, 1},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        runtime::event_loop loop;
        rule_based_entry_host host{loop, test.rule};
        const load_settings settings{.hosts = {host.address()},
                                     .service = "s",
                                     .token = "t",
                                     .form = test.form,
                                     .idempotent = test.idempotent,
                                     .jobs_per_second = 400.0,
                                     .max_jobs = 20,
                                     .deadline = duration_ms{100},
                                     .patience = duration_ms{100},
                                     .resubmits = test.resubmits};
        load_run<geometric_sizes> run{loop, settings, {.mean = 5}, [&] {
                                          loop.stop();
                                      }};
        run.start();
        loop.run();
        const auto& results = run.results();
        CHECK(results.submitted == 20);
        CHECK(results.count(verdict::answered) == test.answered);
        CHECK(results.faults() == test.faults);
        CHECK(results.resubmitted == test.resubmitted);
        CHECK(host.ids.size() == 20 + test.resubmitted);
        const bool has_ids = test.form == call_form::job;
        CHECK(host.ids.front().starts_with("z.1.0.load-") == has_ids);
    }
}

// Guards against jobs with more tasks than the limit or none, and against a wrong mean size.
TEST_CASE("job sizes have the wanted mean and stay within limits") {
    constexpr int draws = 20'000;
    load_random random{7};
    const auto check = [&](auto sizes) {
        double sum = 0;
        for (int draw = 0; draw < draws; ++draw) {
            const auto size = sizes.next(random);
            REQUIRE(size >= 1);
            REQUIRE(size <= max_tasks_per_job);
            sum += size;
        }
        CHECK(sum / draws == doctest::Approx(10.0).epsilon(0.05));
    };
    check(fixed_sizes{10});
    check(uniform_sizes{10});
    check(geometric_sizes{10});
}

} // namespace
} // namespace hawthornstall::tools
