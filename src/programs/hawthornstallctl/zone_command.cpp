#include "hawthornstallctl/zone_command.hpp"

#include "hawthornstall/control/zone_call.hpp"
#include "hawthornstallctl/reply_report.hpp"

#include <ostream>

namespace hawthornstall::ctl {

exit_code run_zone_drain(const std::string& zone, bool drained, const command_options& options,
                         command_output output) {
    constexpr int status_ok = 200;
    constexpr auto names = control::own_zone_calls;
    std::string path{names.prefix};
    path.append(zone).append(drained ? names.drain_suffix : names.undrain_suffix);
    entry_client client{options.access};
    const auto reply = client.send({.method = net::exchange_method::post, .path = path});
    if (reply.status != status_ok) {
        const auto code = report_failure(reply, output.err);
        if (code == exit_code::unknown) {
            output.err << "The order may be in force. Run the same command again.\n";
        }
        return code;
    }
    if (options.json) {
        output.out << reply.body << '\n';
    } else {
        output.out << "accepted: zone " << zone << (drained ? " is drained" : " is in use") << '\n';
    }
    return exit_code::ok;
}

} // namespace hawthornstall::ctl
