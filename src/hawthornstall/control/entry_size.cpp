#include "hawthornstall/control/entry_size.hpp"

#include <numeric>

namespace hawthornstall::control {
namespace detail {

std::size_t payload_bytes(const no_operation& /*payload*/) {
    return 0;
}

std::size_t payload_bytes(const edit_command& edit) {
    return edit.edit_id.size() + edit.service.size() + document_bytes(edit.document) +
           edit.actor.size() + edit.actor_team.size() + edit.host.size();
}

std::size_t payload_bytes(const member_set& members) {
    const auto add = [](std::size_t sum, const member_id& member) {
        return sum + sizeof member + member.host.size();
    };
    return std::accumulate(
        members.voters.begin(), members.voters.end(),
        std::accumulate(members.learners.begin(), members.learners.end(), std::size_t{0}, add),
        add);
}

std::size_t payload_bytes(const numbered_config& config) {
    return config.content.size() + config.actor.size() + config.host.size();
}

std::size_t payload_bytes(const zone_drain_order& order) {
    return order.zone.size() + order.actor.size() + order.host.size();
}

} // namespace detail

std::size_t entry_bytes(const log_entry& entry) {
    return sizeof entry +
           std::visit([](const auto& payload) { return detail::payload_bytes(payload); },
                      entry.payload);
}

} // namespace hawthornstall::control
