#include "hawthornstall/settings/credentials_json.hpp"
#include "hawthornstall/settings/problem_lines.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::settings {
namespace {

constexpr std::string_view caller_token = "caller-token-0123456789";

// SHA-256 of "operator-token-0123456789", computed with the sha256sum tool.
constexpr std::string_view operator_digest =
    "e4ba15bc7411be319ad18f683da1ff6968143f09f0fac67e517a5d6f526598c1";

std::string tokens_text(std::string_view entries) {
    return R"({"tokens":[)" + std::string{entries} + "]}";
}

// Guards against a digest that differs from the one that other tools compute, which would refuse
// every token configured by its digest, and against a lookup that accepts a part of a token.
TEST_CASE("a token is resolved to its principal and a wrong token to none") {
    const auto credentials = parse_credentials(
        tokens_text(R"({"name":"front-desk","role":"caller","team":"prizes","token":")" +
                    std::string{caller_token} +
                    R"("},{"name":"night-shift","role":"operator","token_sha256":")" +
                    std::string{operator_digest} + "\"}"));
    REQUIRE(credentials.ok());
    const auto* const caller = find_by_token(*credentials, caller_token);
    REQUIRE(caller != nullptr);
    CHECK(*caller == principal{"front-desk", role::caller, "prizes"});
    const auto* const site_operator = find_by_token(*credentials, "operator-token-0123456789");
    REQUIRE(site_operator != nullptr);
    CHECK(*site_operator == principal{"night-shift", role::site_operator, ""});
    for (const std::string_view wrong :
         {"", "caller-token-012345678", "caller-token-01234567890"}) {
        CHECK(find_by_token(*credentials, wrong) == nullptr);
    }
}

struct problem_case {
    std::string_view name;
    std::string_view entries;
    std::vector<std::string> problems;
};

// Guards against tokens that are written to a log as part of an error message.
TEST_CASE("problems of credentials are reported without the token") {
    const std::array cases{
        problem_case{"team of an operator",
                     R"({"name":"a","role":"operator","team":"t","token":"SECRET-0123456789"})",
                     {"$.tokens[0].team: must not be given for role operator"}},
        problem_case{"short token and no team",
                     R"({"name":"a","role":"caller","token":"SECRET"})",
                     {"$.tokens[0].token: expected 16 to 256 printable ASCII characters without "
                      "spaces, found a value of type string",
                      "$.tokens[0].team: missing; roles caller and team need a team"}},
        problem_case{"same name and token",
                     R"({"name":"a","role":"operator","token":"SECRET-0123456789"},)"
                     R"({"name":"a","role":"operator","token":"SECRET-0123456789"})",
                     {"$.tokens[1].name: name of an earlier entry",
                      "$.tokens[1].token: token of an earlier entry"}},
        problem_case{"neither token nor digest",
                     R"({"name":"a","role":"operator"})",
                     {"$.tokens[0].token: exactly one of \"token\" and \"token_sha256\" must be "
                      "given"}},
        problem_case{"malformed",
                     R"({"name":"SECRET)",
                     {"$: malformed JSON at line 1, byte 29 of the document"}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const auto status = parse_credentials(tokens_text(test.entries)).status();
        CHECK(problem_lines(status) == test.problems);
        CHECK(std::string{status.message()}.find("SECRET") == std::string::npos);
    }
}

} // namespace
} // namespace hawthornstall::settings
