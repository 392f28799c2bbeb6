#include "hawthornstallctl/reply_report.hpp"

#include "hawthornstall/http/error_body.hpp"

#include <array>
#include <ostream>
#include <string_view>

namespace hawthornstall::ctl {
namespace detail {
namespace {

/// What the user can do about an answer with an HTTP status.
struct status_advice {
    int status;
    std::string_view advice;
};

constexpr std::array advices{
    status_advice{400, "correct what the message names and send it again"},
    status_advice{401, "check that --token_file holds a valid token"},
    status_advice{403, "use a token of the team that owns the document, or of an operator"},
    status_advice{404, "check the name with the list command"},
    status_advice{409, "read the document with the show command and apply the change to it"},
    status_advice{429, "wait and send it again"},
    status_advice{503, "wait and send it again, or name another entry host with --host"},
    status_advice{504, "send it again with the same --edit_id to learn what happened"},
    status_advice{507, "remove documents that are not needed, or ask the operators"},
};

std::string_view advice_for(int status) {
    for (const auto& item : advices) {
        if (item.status == status) {
            return item.advice;
        }
    }
    return "look at the log of the entry host";
}

void report_answer(const entry_reply& reply, std::ostream& err) {
    const auto error = http::decode_error(reply.body);
    const auto reason = error.ok() ? error->reason : "HTTP status " + std::to_string(reply.status);
    err << "error: " << reason << '\n';
    if (error.ok()) {
        err << "  step: " << error->step << '\n'
            << "  peer: " << (error->peer.empty() ? reply.host : error->peer) << '\n';
    } else {
        err << "  peer: " << reply.host << '\n';
    }
    err << "  next: " << advice_for(reply.status) << '\n';
}

} // namespace
} // namespace detail

exit_code report_failure(const entry_reply& reply, std::ostream& err) {
    if (reply.outcome == net::exchange_outcome::answered) {
        detail::report_answer(reply, err);
    } else {
        const bool sent = reply.outcome == net::exchange_outcome::broken;
        err << "error: " << net::to_string(reply.fault) << '\n'
            << "  step: " << (sent ? "wait for the answer" : "connect") << '\n'
            << "  peer: " << reply.host << '\n'
            << "  next: check that the entry host runs, or name another one with --host\n";
    }
    if (reply.may_have_arrived) {
        return exit_code::unknown;
    }
    return reply.outcome == net::exchange_outcome::answered ? exit_code::refused
                                                            : exit_code::unreachable;
}

} // namespace hawthornstall::ctl
