#include "hawthornstall/net/stream_check.hpp"

#include <utility>

namespace hawthornstall::net {

stream_verdict stream_check::check(const stream_position& message, bool is_data) {
    const auto known = std::exchange(last_, message);
    if (!known) {
        return stream_verdict::in_order;
    }
    if (message.incarnation != known->incarnation) {
        return stream_verdict::restarted;
    }
    if (message.session > known->session) {
        return stream_verdict::resumed;
    }
    const auto expected = known->sequence + (is_data ? 1 : 0);
    if (message.session < known->session || message.sequence < expected) {
        last_ = known;
        return stream_verdict::outdated;
    }
    return message.sequence == expected ? stream_verdict::in_order : stream_verdict::gap;
}

} // namespace hawthornstall::net
