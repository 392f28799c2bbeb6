#include "hawthornstall/settings/control_settings.hpp"
#include "hawthornstall/settings/entry_settings.hpp"
#include "hawthornstall/settings/problem_lines.hpp"

#include <doctest/doctest.h>

#include <array>
#include <string>
#include <vector>

namespace hawthornstall::settings {
namespace {

const std::string control_hosts = R"([{"name":"control-1","peer_address":"192.0.2.9:7100"}])";

/// Valid settings of an entry host with `extra` members at the end.
std::string entry_text(std::string_view peers, std::string_view extra,
                       std::string_view replicas = R"(["bilbao-1"])") {
    return R"({"name":"bilbao-1","zone":"bilbao","http_address":"192.0.2.1:8080",)"
           R"("peer_address":"192.0.2.1:7000","journal_replicas":)" +
           std::string{replicas} + R"(,"control_hosts":)" + control_hosts + R"(,"peers":[)" +
           std::string{peers} + "]" + std::string{extra} + "}";
}

constexpr std::string_view tokens_file = R"(,"tokens_file":"tokens.json")";
constexpr std::string_view peer = R"({"name":"a","zone":"b","peer_address":"192.0.2.3:7000"})";

struct problem_case {
    std::string_view name;
    std::string text;
    std::vector<std::string> problems; ///< Complete list, in order.
};

// Guards against a daemon that starts with settings that contradict each other.
TEST_CASE("all problems of entry-host settings are reported together") {
    const std::array cases{
        problem_case{"valid", entry_text("", tokens_file), {}},
        problem_case{
            "peers",
            entry_text(R"({"name":"bilbao-1","zone":"bilbao","peer_address":"192.0.2.1:7000"},)"
                       R"(7,{"name":"a","zone":"b","peer_address":"host:1","weight":0},)"
                       R"({"name":"a","zone":"b","peer_address":"192.0.2.3:0","kind":1})",
                       tokens_file),
            {"$.peers[1]: expected an object, found 7",
             "$.peers[0].name: must not name this host itself",
             "$.peers[0].peer_address: must not be the address of this host itself",
             "$.peers[2].weight: expected a number from 0.01 to 100.0, found 0",
             "$.peers[2].peer_address: expected " + std::string{address_rule.description} +
                 ", found a value of type string",
             "$.peers[3].peer_address: expected " + std::string{address_rule.description} +
                 ", found a value of type string",
             "$.peers[3].name: name of an earlier entry", "$.peers[3].kind: unknown key"}},
        problem_case{"replicas on this host and a peer",
                     entry_text(peer, tokens_file, R"(["a","bilbao-1"])"),
                     {}},
        problem_case{"replicas on unknown hosts",
                     entry_text(peer, tokens_file, R"(["c","a","control-1"])"),
                     {"$.journal_replicas[0]: must be $.name or the name of a peer",
                      "$.journal_replicas[2]: must be $.name or the name of a peer"}},
        problem_case{"two replicas on one host",
                     entry_text(peer, tokens_file, R"(["a","a"])"),
                     {"$.journal_replicas[1]: occurs more than once in the array"}},
        problem_case{"no replicas",
                     entry_text(peer, tokens_file, "[]"),
                     {"$.journal_replicas: expected an array of 1 to 9 elements, found an array of "
                      "0 elements"}},
        problem_case{"replicas are not looked up among faulty peers",
                     entry_text("7", tokens_file, R"(["a"])"),
                     {"$.peers[0]: expected an object, found 7"}},
        problem_case{"thread count and log level",
                     entry_text("", R"(,"tokens_file":"t","http_threads":65,"log_level":"trace")"),
                     {"$.http_threads: expected a whole number from 1 to 64 threads, found 65",
                      "$.log_level: expected one of debug, info, warning, error, found a value of "
                      "type string"}},
        problem_case{"no tokens",
                     entry_text("", ""),
                     {"$.tokens: exactly one of \"tokens\" and \"tokens_file\" must be given"}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        CHECK(problem_lines(parse_entry_settings(test.text).status()) == test.problems);
    }
}

std::string control_text(std::string_view voters) {
    return R"({"name":"control-1","peer_address":"192.0.2.9:7100","data_folder":"data",)"
           R"("entry_hosts":[{"name":"bilbao-1","peer_address":"192.0.2.1:7000"}],"voters":)" +
           std::string{voters} + "}";
}

// Guards against a control host that votes under another host's name or address.
TEST_CASE("all problems of control-host settings are reported together") {
    const std::string mismatch = "$.voters: an entry must have both or neither of $.name and "
                                 "$.peer_address (entry control-";
    const std::array cases{
        problem_case{"valid", control_text(control_hosts), {}},
        problem_case{"joins later",
                     control_text(R"([{"name":"control-2","peer_address":"192.0.2.8:7100"}])"),
                     {}},
        problem_case{"other address",
                     control_text(R"([{"name":"control-1","peer_address":"192.0.2.8:7100"}])"),
                     {mismatch + "1)"}},
        problem_case{"other name",
                     control_text(R"([{"name":"control-2","peer_address":"192.0.2.9:7100"}])"),
                     {mismatch + "2)"}},
        problem_case{"no voters",
                     control_text("[]"),
                     {"$.voters: expected an array of 1 to 9 elements, found an array of 0 "
                      "elements"}},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        CHECK(problem_lines(parse_control_settings(test.text).status()) == test.problems);
    }
}

struct address_case {
    std::string_view text;
    bool valid;
};

// Guards against accepting host names, which the platform does not resolve, and ports of which only
// the leading digits are read.
TEST_CASE("valid addresses are parsed and formatted unchanged and others are refused") {
    constexpr std::array cases{
        address_case{"192.0.2.1:7000", true},  address_case{"[2001:db8::1]:65535", true},
        address_case{"192.0.2.1", false},      address_case{"192.0.2.1:", false},
        address_case{"192.0.2.1:0", false},    address_case{"192.0.2.1:65536", false},
        address_case{"192.0.2.1:70x", false},  address_case{"192.0.2.256:1", false},
        address_case{"2001:db8::1:80", false}, address_case{"[192.0.2.1]:80", false},
        address_case{"localhost:80", false},   address_case{"", false},
    };
    for (const auto& test : cases) {
        CAPTURE(test.text);
        const auto address = parse_socket_address(test.text);
        CHECK(address.has_value() == test.valid);
        if (address) {
            CHECK(to_string(*address) == test.text);
        }
    }
}

// Guards against a daemon that treats a missing file as empty settings.
TEST_CASE("a missing settings file is an error") {
    CHECK(load_entry_settings("no-such-file.json").status().code() == absl::StatusCode::kNotFound);
    CHECK(load_control_settings("no-such-file.json").status().code() ==
          absl::StatusCode::kNotFound);
}

} // namespace
} // namespace hawthornstall::settings
