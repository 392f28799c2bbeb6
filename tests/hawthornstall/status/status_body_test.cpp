#include "hawthornstall/status/status_body.hpp"

#include <doctest/doctest.h>

#include <string>
#include <string_view>
#include <vector>

namespace hawthornstall::status {
namespace {

struct body_case {
    std::string_view path;
    status_rows rows;
    std::string_view part; ///< Text that the encoded rows must contain.
};

// Guards against a path that is mapped to the wrong kind of rows, and against names with quotation
// marks or invalid UTF-8 that produce invalid JSON or an exception.
TEST_CASE("each path has its kind of rows and rows are encoded as JSON") {
    const std::vector cases{
        body_case{"/v1/hosts", std::vector<host_row>{{.name = "a", .role = "scheduler"}},
                  R"("role":"scheduler")"},
        body_case{"/v1/targets",
                  std::vector<target_row>{
                      {.name = "w", .capacity = {.cpu_millis = 1'500}, .reason = "it is draining"}},
                  R"("cores":1.5)"},
        body_case{"/v1/rollout", std::vector<config_row>{{.name = "a", .version = 7}},
                  R"("config_version":7)"},
        body_case{"/v1/jobs", std::vector<job_row>{{.id = "j", .running_on = {"w\"1", "w\xff"}}},
                  R"("running_on":["w\"1","w)"},
        body_case{"/v1/jobs", std::vector<job_row>{}, "[]"},
        body_case{"/v1/zones", std::vector<zone_row>{{.name = "bilbao", .drained = true}},
                  R"("drained":true)"},
    };
    for (const auto& item : cases) {
        CAPTURE(item.path);
        const auto kind = kind_of(item.path);
        REQUIRE(kind);
        CHECK(static_cast<std::size_t>(*kind) == item.rows.index());
        CHECK(encode_rows(item.rows).find(item.part) != std::string::npos);
    }
    CHECK_FALSE(kind_of("/v1/other"));
}

} // namespace
} // namespace hawthornstall::status
