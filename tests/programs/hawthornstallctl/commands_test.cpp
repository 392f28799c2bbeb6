#include "hawthornstall/net/http_server.hpp"
#include "hawthornstall/runtime/loop_task.hpp"
#include "hawthornstallctl/commands.hpp"

#include <doctest/doctest.h>

#include <array>
#include <cstddef>
#include <filesystem>
#include <fstream>
#include <future>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

namespace hawthornstall::ctl {
namespace {

/// A request that the stand-in entry host received.
struct received_request {
    std::string method;
    std::string path;
    std::string authorization;
    std::string base_version;
    std::string edit_id;

    bool operator==(const received_request&) const = default;
};

struct scripted_answer {
    int status = 200; ///< 0: never answers.
    std::string body;
};

/// Stand-in for an entry host. Answers requests in the order of a script and repeats the last
/// answer.
class scripted_entry_host {
public:
    using message = int;

    scripted_entry_host(std::vector<scripted_answer> script,
                        std::shared_ptr<std::vector<received_request>> received,
                        std::shared_ptr<std::promise<std::string>> address)
        : script_(std::move(script)), received_(std::move(received)), address_(std::move(address)) {
    }

    void attach(runtime::event_loop& loop) {
        server_ = std::make_unique<net::http_server>(
            loop, "127.0.0.1:0", net::http_server_limits{},
            [this](const net::http_request& request) { receive(request); });
        CHECK(server_->start().ok());
        address_->set_value(std::string{server_->address()});
    }

    void handle(message /*unused*/) {}

private:
    void receive(const net::http_request& request) {
        const auto& answer = script_.at(std::min(received_->size(), script_.size() - 1));
        received_->push_back({std::string{request.method}, std::string{request.path},
                              std::string{request.authorization},
                              std::string{request.header("If-Match")},
                              std::string{request.header("X-Edit-Id")}});
        if (answer.status != 0) {
            server_->answer(request.number, {.status = answer.status, .body = answer.body});
        }
    }

    std::vector<scripted_answer> script_;
    std::shared_ptr<std::vector<received_request>> received_;
    std::shared_ptr<std::promise<std::string>> address_;
    std::unique_ptr<net::http_server> server_;
};

struct command_run {
    exit_code code;
    std::string out;
    std::string err;
    std::vector<received_request> received;
};

/// Runs a command against a stand-in entry host that answers from `script`.
command_run run_against(const std::vector<scripted_answer>& script,
                        const std::vector<std::string>& arguments, command_options options) {
    const auto received = std::make_shared<std::vector<received_request>>();
    const auto address = std::make_shared<std::promise<std::string>>();
    auto listening = address->get_future();
    runtime::loop_task<scripted_entry_host> entry{runtime::make_mailbox<int>(1), script, received,
                                                  address};
    options.access.hosts = {listening.get()};
    options.access.token = "secret";
    options.access.timeout = core::duration_ms{200};
    options.access.retry_delay = core::duration_ms{1};
    std::ostringstream out;
    std::ostringstream err;
    const auto code = run_command(arguments, options, {out, err});
    entry.stop();
    return {code, out.str(), err.str(), *received};
}

/// A service document in a temporary file, which is removed by the destructor.
class temporary_document {
public:
    explicit temporary_document(std::string_view text)
        : path_(std::filesystem::temp_directory_path() /
                ("ctl_test." + std::to_string(core::to_count(core::ms_clock::now())) + ".json")) {
        std::ofstream{path_} << text;
    }
    ~temporary_document() { std::filesystem::remove(path_); }
    temporary_document(const temporary_document&) = delete;
    temporary_document& operator=(const temporary_document&) = delete;
    temporary_document(temporary_document&&) = delete;
    temporary_document& operator=(temporary_document&&) = delete;

    [[nodiscard]] std::string path() const { return path_.string(); }

private:
    std::filesystem::path path_;
};

struct edit_case {
    std::string name;
    std::string command;
    std::vector<scripted_answer> script;
    exit_code code;
    std::string base_version;
    std::size_t requests;
    std::string expected_text; ///< Expected part of the output or of the errors.
};

// Guards against retries under a new identifier, which would apply an edit twice, and against exit
// codes that do not tell a script whether the edit was applied.
TEST_CASE("an edit keeps its identifier until it is answered") {
    const scripted_answer accepted{200, R"({"result":"accepted","version":8})"};
    const std::array cases{
        edit_case{"accepted", "edit", {accepted}, exit_code::ok, "7", 1, "has version 8"},
        edit_case{"created", "create", {accepted}, exit_code::ok, "0", 1, "accepted"},
        edit_case{"answer lost once",
                  "edit",
                  {{0, ""}, accepted},
                  exit_code::ok,
                  "7",
                  2,
                  "has version 8"},
        edit_case{"unavailable once",
                  "edit",
                  {{503, "{}"}, accepted},
                  exit_code::ok,
                  "7",
                  2,
                  "has version 8"},
        edit_case{"answer lost",
                  "edit",
                  {{0, ""}},
                  exit_code::unknown,
                  "7",
                  3,
                  "may be in force. Run the same command with --edit_id="},
        edit_case{"other edit first",
                  "edit",
                  {{409, R"({"result":"version_conflict","version":9})"}},
                  exit_code::conflict,
                  "7",
                  1,
                  "version 9 is in force"},
        edit_case{"other team",
                  "edit",
                  {{403, R"({"result":"not_owner","version":7})"}},
                  exit_code::refused,
                  "7",
                  1,
                  "not_owner"},
        edit_case{"lost, then refused",
                  "edit",
                  {{0, ""}, {409, R"({"result":"version_conflict","version":9})"}},
                  exit_code::conflict,
                  "7",
                  2,
                  "version 9 is in force"},
        edit_case{"no permission",
                  "edit",
                  {{401, R"({"outcome":"refused_not_run","reason":"unknown token",)"
                         R"("step":"authenticate","peer":""})"}},
                  exit_code::refused,
                  "7",
                  1,
                  "step: authenticate"},
    };
    const temporary_document document{R"({"service":"draws","team":"t","version":7})"};
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const auto run = run_against(test.script, {test.command, document.path()}, {});
        CAPTURE(run.err);
        CHECK(run.code == test.code);
        REQUIRE(run.received.size() == test.requests);
        CHECK((run.out + run.err).find(test.expected_text) != std::string::npos);
        const auto& first = run.received.front();
        CHECK(first.method == "PUT");
        CHECK(first.path == "/v1/documents/draws");
        CHECK(first.authorization == "Bearer secret");
        CHECK(first.base_version == test.base_version);
        CHECK(first.edit_id.size() >= 16);
        CHECK(run.err.starts_with("edit identifier: " + first.edit_id));
        for (const auto& repeated : run.received) {
            CHECK(repeated == first);
        }
    }
}

struct read_case {
    std::string name;
    std::vector<std::string> arguments;
    bool json;
    scripted_answer answer;
    exit_code code;
    std::string path; ///< Empty when nothing is sent.
    std::string expected_text;
};

// Guards against failures that are shown as results and against output that a script cannot parse.
TEST_CASE("reading commands show tables, JSON or a clear error") {
    const std::string hosts = R"([{"name":"a1","zone":"z","reachable":true,"config_revision":3,)"
                              R"("config_age_ms":null,"owned":["x","y"]}])";
    const std::array cases{
        read_case{"table",
                  {"rollout"},
                  false,
                  {200, hosts},
                  exit_code::ok,
                  "/v1/rollout",
                  "a1    z     true       3         -"},
        read_case{
            "list in a cell", {"hosts"}, false, {200, hosts}, exit_code::ok, "/v1/hosts", "x,y"},
        read_case{"columns that only some processes have",
                  {"hosts"},
                  false,
                  {200, R"([{"name":"h","role":"scheduler","held_targets":6}])"},
                  exit_code::ok,
                  "/v1/hosts",
                  "scheduler  6"},
        read_case{"jobs of a scheduler",
                  {"jobs"},
                  false,
                  {200, R"([{"id":"j1","running_on":["w-1","w-2"]}])"},
                  exit_code::ok,
                  "/v1/jobs",
                  "w-1,w-2"},
        read_case{"json", {"audit"}, true, {200, "[]"}, exit_code::ok, "/v1/audit", "[]\n"},
        read_case{
            "empty table", {"targets"}, false, {200, "[]"}, exit_code::ok, "/v1/targets", "TARGET"},
        read_case{"escape codes",
                  {"list"},
                  false,
                  {200, R"([{"service":"\u001b[2J"}])"},
                  exit_code::ok,
                  "/v1/documents",
                  "?[2J"},
        read_case{"document",
                  {"show", "draws"},
                  false,
                  {200, R"({"service":"draws"})"},
                  exit_code::ok,
                  "/v1/documents/draws",
                  "\"service\": \"draws\""},
        read_case{"not found",
                  {"show", "draws"},
                  false,
                  {404, R"({"outcome":"refused_not_run","reason":"no document","step":"show"})"},
                  exit_code::refused,
                  "/v1/documents/draws",
                  "next: check the name"},
        read_case{"not an entry host",
                  {"hosts"},
                  false,
                  {200, "<html>"},
                  exit_code::refused,
                  "/v1/hosts",
                  "not a list of rows"},
        read_case{"unknown command", {"delete"}, false, {}, exit_code::usage, "", "exit codes:"},
        read_case{"missing argument", {"show"}, false, {}, exit_code::usage, "", "exit codes:"},
        read_case{
            "no file", {"edit", "/nonexistent"}, false, {}, exit_code::usage, "", "cannot be read"},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        command_options options;
        options.json = test.json;
        const auto run = run_against({test.answer}, test.arguments, options);
        CHECK(run.code == test.code);
        CHECK(run.received.size() == (test.path.empty() ? 0 : 1));
        CHECK((run.received.empty() ? "" : run.received.front().path) == test.path);
        CAPTURE(run.out);
        CAPTURE(run.err);
        CHECK((run.out + run.err).find(test.expected_text) != std::string::npos);
    }
}

struct zone_case {
    std::string name;
    std::vector<std::string> arguments;
    std::vector<scripted_answer> script;
    exit_code code;
    std::string path;
    std::size_t requests;
    std::string expected_text;
};

// Guards against an order that is sent to the wrong zone or given up after one lost answer, and
// against an exit code that tells a script that a refused order is in force.
TEST_CASE("a zone is drained and used again by one order each") {
    const scripted_answer accepted{200, "{}"};
    const std::array cases{
        zone_case{"drain",
                  {"drain-zone", "bilbao"},
                  {accepted},
                  exit_code::ok,
                  "/v1/zones/bilbao/drain",
                  1,
                  "zone bilbao is drained"},
        zone_case{"undrain",
                  {"undrain-zone", "bilbao"},
                  {accepted},
                  exit_code::ok,
                  "/v1/zones/bilbao/undrain",
                  1,
                  "zone bilbao is in use"},
        zone_case{"no quorum at first",
                  {"drain-zone", "bilbao"},
                  {{503, "{}"}, accepted},
                  exit_code::ok,
                  "/v1/zones/bilbao/drain",
                  2,
                  "is drained"},
        zone_case{"answers lost",
                  {"drain-zone", "bilbao"},
                  {{0, ""}},
                  exit_code::unknown,
                  "/v1/zones/bilbao/drain",
                  3,
                  "Run the same command again"},
        zone_case{"unknown zone",
                  {"drain-zone", "x"},
                  {{400, "{}"}},
                  exit_code::refused,
                  "/v1/zones/x/drain",
                  1,
                  "next: correct"},
        zone_case{
            "missing zone", {"drain-zone"}, {accepted}, exit_code::usage, "", 0, "exit codes:"},
    };
    for (const auto& test : cases) {
        CAPTURE(test.name);
        const auto run = run_against(test.script, test.arguments, {});
        CHECK(run.code == test.code);
        CHECK(run.received.size() == test.requests);
        for (const auto& request : run.received) {
            CHECK(request.method == "POST");
            CHECK(request.path == test.path);
        }
        CAPTURE(run.err);
        CHECK((run.out + run.err).find(test.expected_text) != std::string::npos);
    }
}

struct local_case {
    std::string document;
    exit_code code;
    std::string expected_text;
};

// Guards against sending an invalid document, and against a missing error message when no host
// answers.
TEST_CASE("documents are checked before anything is sent") {
    const std::array cases{
        local_case{R"({"service":"draws","team":"t"})", exit_code::ok, "valid document"},
        local_case{R"({"service":"draws","team":"t","accepts":{"max_tasks_per_job":0}})",
                   exit_code::usage, "max_tasks_per_job"},
    };
    for (const auto& test : cases) {
        const temporary_document document{test.document};
        const auto run = run_against({{}}, {"validate", document.path()}, {});
        CHECK(run.code == test.code);
        CHECK(run.received.empty());
        CHECK((run.out + run.err).find(test.expected_text) != std::string::npos);
    }
    std::ostringstream out;
    std::ostringstream err;
    command_options options;
    options.access.hosts = {"127.0.0.1:1"};
    options.access.retry_delay = core::duration_ms{1};
    const std::vector<std::string> arguments{"hosts"};
    CHECK(run_command(arguments, options, {out, err}) == exit_code::unreachable);
    CHECK(err.str().find("peer: 127.0.0.1:1") != std::string::npos);
}

} // namespace
} // namespace hawthornstall::ctl
