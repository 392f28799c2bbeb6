#include "hawthornstall/net/http_exchange.hpp"

namespace hawthornstall::net {

std::string_view to_string(exchange_fault fault) noexcept {
    switch (fault) {
    case exchange_fault::none:
        return "none";
    case exchange_fault::connect_failed:
        return "connect failed";
    case exchange_fault::no_connection:
        return "no free connection";
    case exchange_fault::connection_lost:
        return "connection lost";
    case exchange_fault::timed_out:
        return "timed out";
    case exchange_fault::incomplete_body:
        return "incomplete body";
    case exchange_fault::answer_too_large:
        return "answer too large";
    case exchange_fault::malformed_answer:
        return "malformed answer";
    }
    return "unknown";
}

} // namespace hawthornstall::net
