#include "hawthornstallctl/commands.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/settings/service_document_json.hpp"
#include "hawthornstallctl/edit_command.hpp"
#include "hawthornstallctl/reply_report.hpp"
#include "hawthornstallctl/row_table.hpp"
#include "hawthornstallctl/trace_command.hpp"
#include "hawthornstallctl/zone_command.hpp"

#include <array>
#include <ostream>

namespace hawthornstall::ctl {
namespace detail {
namespace {

constexpr int status_ok = 200;

/// A command that reads a JSON array of rows from `path` and shows it as a table.
struct row_command {
    std::string_view name;
    std::string_view path;
    std::span<const table_column> columns;
    std::string_view description;
};

constexpr std::array document_columns{
    table_column{"SERVICE", "service"}, table_column{"VERSION", "version"},
    table_column{"TEAM", "team"}, table_column{"MODEL", "model"}, table_column{"ORDER", "order"}};
constexpr std::array rollout_columns{table_column{"HOST", "name"},
                                     table_column{"ZONE", "zone"},
                                     table_column{"REACHABLE", "reachable"},
                                     table_column{"VERSION", "config_version", true},
                                     table_column{"REVISION", "config_revision"},
                                     table_column{"CONFIRMED MS AGO", "config_age_ms"}};
constexpr std::array host_columns{
    table_column{"HOST", "name"},           table_column{"ZONE", "zone"},
    table_column{"REACHABLE", "reachable"}, table_column{"DRAINING", "draining"},
    table_column{"ROLE", "role", true},     table_column{"TARGETS", "held_targets", true},
    table_column{"OWNED SERVICES", "owned"}};
constexpr std::array target_columns{
    table_column{"TARGET", "name"},         table_column{"ZONE", "zone"},
    table_column{"RACK", "rack"},           table_column{"ADDRESS", "address"},
    table_column{"SERVICES", "services"},   table_column{"SLOTS", "slots"},
    table_column{"CORES", "cores"},         table_column{"HOLDER", "holder", true},
    table_column{"TOKEN", "token", true},   table_column{"RUNS", "runs", true},
    table_column{"AVAILABLE", "available"}, table_column{"REASON", "reason"}};
constexpr std::array job_columns{table_column{"JOB", "id"},
                                 table_column{"SERVICE", "service"},
                                 table_column{"AGE MS", "age_ms"},
                                 table_column{"DEADLINE MS", "deadline_ms"},
                                 table_column{"PENDING", "pending_tasks"},
                                 table_column{"RUNNING", "running_tasks"},
                                 table_column{"DONE", "done_tasks"},
                                 table_column{"RUNNING ON", "running_on"},
                                 table_column{"ENDING", "ending"}};
constexpr std::array zone_columns{table_column{"ZONE", "name"}, table_column{"DRAINED", "drained"},
                                  table_column{"REVISION", "config_revision"}};
constexpr std::array shard_columns{
    table_column{"SERVICE", "service"},       table_column{"ZONE", "zone"},
    table_column{"SERVING", "serving"},       table_column{"QUORUM", "has_quorum"},
    table_column{"EPOCH", "epoch"},           table_column{"QUEUED", "queued_tasks"},
    table_column{"RUNNING", "running_tasks"}, table_column{"EJECTED", "ejected_targets"}};
constexpr std::array audit_columns{
    table_column{"REVISION", "revision"}, table_column{"TIME MS", "wall_time_ms"},
    table_column{"SERVICE", "service"},   table_column{"FROM", "from_version"},
    table_column{"TO", "to_version"},     table_column{"ACTOR", "actor"},
    table_column{"TEAM", "team"},         table_column{"HOST", "host"},
    table_column{"EDIT ID", "edit_id"}};

constexpr std::array row_commands{
    row_command{"list", "/v1/documents", document_columns, "service documents in force"},
    row_command{"rollout", "/v1/rollout", rollout_columns, "configuration of each entry host"},
    row_command{"hosts", "/v1/hosts", host_columns, "entry hosts and what they own"},
    row_command{"targets", "/v1/targets", target_columns, "known targets"},
    row_command{"jobs", "/v1/jobs", job_columns,
                "jobs on leased targets that the asked host schedules"},
    row_command{"zones", "/v1/zones", zone_columns, "availability zones and their drains"},
    row_command{"shards", "/v1/shards", shard_columns, "queues owned by the asked host"},
    row_command{"audit", "/v1/audit", audit_columns, "accepted edits"},
};

exit_code show_rows(const row_command& command, const command_options& options,
                    command_output output) {
    entry_client client{options.access};
    const auto reply = client.send({.path = command.path});
    if (reply.status != status_ok) {
        return report_failure(reply, output.err);
    }
    if (options.json) {
        output.out << reply.body << '\n';
        return exit_code::ok;
    }
    const auto table = format_table(reply.body, command.columns);
    if (!table.ok()) {
        output.err << "error: " << core::describe(table.status()) << "\n  peer: " << reply.host
                   << "\n  next: check that --host names an entry host\n";
        return exit_code::refused;
    }
    output.out << *table;
    return exit_code::ok;
}

exit_code show_document(std::string_view service, const command_options& options,
                        command_output output) {
    entry_client client{options.access};
    const auto path = "/v1/documents/" + std::string{service};
    const auto reply = client.send({.path = path});
    if (reply.status != status_ok) {
        return report_failure(reply, output.err);
    }
    output.out << (options.json ? reply.body : format_document(reply.body)) << '\n';
    return exit_code::ok;
}

exit_code validate(const std::string& path, const command_options& options, command_output output) {
    const auto document = read_document(path, output.err);
    if (!document) {
        return exit_code::usage;
    }
    if (options.json) {
        output.out << settings::to_json(document->parsed) << '\n';
    } else {
        output.out << path << ": valid document of service " << document->parsed.service << '\n';
    }
    return exit_code::ok;
}

exit_code report_usage(std::ostream& err) {
    err << usage();
    return exit_code::usage;
}

} // namespace
} // namespace detail

exit_code run_command(std::span<const std::string> arguments, const command_options& options,
                      command_output output) {
    if (arguments.empty()) {
        return detail::report_usage(output.err);
    }
    const auto& name = arguments.front();
    if (name == "validate" && arguments.size() == 2) {
        return detail::validate(arguments[1], options, output);
    }
    if (name == "trace" && arguments.size() > 2) {
        return run_trace(arguments[1], arguments.subspan(2), options, output);
    }
    const bool is_edit = name == "create" || name == "edit";
    if (options.access.hosts.empty()) {
        output.err << "error: --host is missing\n  next: give the ip:port of an entry host\n";
        return exit_code::usage;
    }
    if (is_edit && arguments.size() == 2) {
        return run_edit(name == "create" ? edit_kind::create : edit_kind::change, arguments[1],
                        options, output);
    }
    const bool drains_zone = name == "drain-zone";
    if ((drains_zone || name == "undrain-zone") && arguments.size() == 2) {
        return run_zone_drain(arguments[1], drains_zone, options, output);
    }
    if (name == "show" && arguments.size() == 2) {
        return detail::show_document(arguments[1], options, output);
    }
    for (const auto& command : detail::row_commands) {
        if (command.name == name && arguments.size() == 1) {
            return detail::show_rows(command, options, output);
        }
    }
    return detail::report_usage(output.err);
}

std::string usage() {
    std::string text = "hawthornstallctl [flags] <command>\n"
                       "  create <file>       adds a service document\n"
                       "  edit <file>         changes a document, from the version it states\n"
                       "  validate <file>     checks a document without sending it\n"
                       "  show <service>      one service document\n"
                       "  trace <id> <log>... lines about one request from the logs of all hosts\n"
                       "  drain-zone <zone>   starts nothing more on the targets of a zone\n"
                       "  undrain-zone <zone> uses the targets of a zone again\n";
    for (const auto& command : detail::row_commands) {
        constexpr std::size_t width = 20;
        text.append("  ").append(command.name);
        text.append(width - command.name.size(), ' ').append(command.description).append("\n");
    }
    return text +
           "hosts, targets, rollout, jobs and zones also take the metrics address of a process "
           "whose "
           "targets hold leases, of an entry or a control host; drain-zone and undrain-zone take "
           "the "
           "operators' address of a control host\n"
           "exit codes: 0 done, 1 refused, 2 wrong command line or document, 3 no entry host "
           "reached, 4 answer lost (an edit may be in force), 5 another edit came first\n";
}

} // namespace hawthornstall::ctl
