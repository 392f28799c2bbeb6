#include "hawthornstallctl/edit_command.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/http/admin_body.hpp"
#include "hawthornstall/settings/service_document_json.hpp"
#include "hawthornstallctl/reply_report.hpp"
#include "hawthornstallctl/row_table.hpp"

#include <array>
#include <fstream>
#include <iterator>
#include <ostream>
#include <random>
#include <sstream>

namespace hawthornstall::ctl {
namespace detail {
namespace {

constexpr std::string_view accepted = "accepted";
constexpr std::string_view version_conflict = "version_conflict";

/// Returns 128 random bits as text, enough that identifiers of different edits do not collide.
std::string new_edit_id() {
    std::random_device random;
    std::ostringstream text;
    text << std::hex;
    for (int word = 0; word < 4; ++word) {
        text << random() << (word < 3 ? "-" : "");
    }
    return text.str();
}

std::string base_version(edit_kind kind, const command_options& options,
                         std::string_view document) {
    if (kind == edit_kind::create) {
        return "0";
    }
    return options.base_version.empty() ? stated_version(document) : options.base_version;
}

exit_code report_edit(const entry_reply& reply, std::string_view service, std::string_view edit_id,
                      const command_options& options, command_output output) {
    const auto answer = http::decode_edit_answer(reply.body);
    if (reply.outcome != net::exchange_outcome::answered || !answer.ok()) {
        const auto code = report_failure(reply, output.err);
        if (code == exit_code::unknown) {
            output.err << "The edit may be in force. Run the same command with --edit_id="
                       << edit_id << " to learn its result; it is not applied twice.\n";
        }
        return code;
    }
    if (options.json) {
        output.out << reply.body << '\n';
    }
    if (answer->result == accepted) {
        if (!options.json) {
            output.out << "accepted: " << service << " has version " << answer->version << '\n';
        }
        return exit_code::ok;
    }
    output.err << "error: " << answer->result << "; version " << answer->version
               << " is in force\n  step: compare and set\n  peer: " << reply.host << '\n';
    if (answer->result == version_conflict) {
        output.err << "  next: run show " << service
                   << ", apply the change to that version and edit again\n";
        return exit_code::conflict;
    }
    output.err << "  next: use a token of the owning team, and a new edit identifier for other "
                  "content\n";
    return exit_code::refused;
}

} // namespace
} // namespace detail

std::optional<document_file> read_document(const std::string& path, std::ostream& err) {
    std::ifstream file{path, std::ios::binary};
    std::string text{std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{}};
    if (path.empty() || !file) {
        err << "error: the document cannot be read\n  step: read " << path
            << "\n  next: name the file of a service document\n";
        return std::nullopt;
    }
    auto parsed = settings::parse_service_document(text);
    if (!parsed.ok()) {
        err << "error: " << core::describe(parsed.status()) << "\n  next: correct " << path << '\n';
        return std::nullopt;
    }
    return document_file{.text = std::move(text), .parsed = *std::move(parsed)};
}

exit_code run_edit(edit_kind kind, const std::string& path, const command_options& options,
                   command_output output) {
    const auto document = read_document(path, output.err);
    if (!document) {
        return exit_code::usage;
    }
    const auto base = detail::base_version(kind, options, document->text);
    if (base.empty()) {
        output.err << "error: the document states no version to start from\n"
                      "  next: edit the output of show, or give --base_version\n";
        return exit_code::usage;
    }
    const auto edit_id = options.edit_id.empty() ? detail::new_edit_id() : options.edit_id;
    output.err << "edit identifier: " << edit_id << '\n';
    const auto& service = document->parsed.service;
    const auto resource = "/v1/documents/" + service;
    const std::array headers{net::http_header{"If-Match", base},
                             net::http_header{"X-Edit-Id", edit_id}};
    entry_client client{options.access};
    const auto reply = client.send({.method = net::exchange_method::put,
                                    .path = resource,
                                    .headers = headers,
                                    .body = document->text});
    return detail::report_edit(reply, service, edit_id, options, output);
}

} // namespace hawthornstall::ctl
