#include "hawthornstall/discovery/check_target.hpp"

#include "hawthornstall/core/error.hpp"
#include "hawthornstall/net/socket_address.hpp"

#include <algorithm>
#include <string_view>

namespace hawthornstall::discovery {
namespace {

/// Whether `id` can be part of a path and of a header.
bool is_valid_id(std::string_view id) {
    constexpr char first_visible = '!';
    constexpr char last_visible = '~';
    return !id.empty() && id.size() <= max_name_bytes &&
           std::ranges::all_of(id, [](char character) {
               return character >= first_visible && character <= last_visible && character != '/';
           });
}

bool is_valid_address(std::string_view address) {
    // The socket API would ignore everything after a zero byte.
    if (address.size() > max_address_bytes || address.find('\0') != std::string_view::npos) {
        return false;
    }
    const auto parts = net::split_address(address);
    return parts.ok() && parts->port != 0;
}

bool are_valid_labels(const target_record& record) {
    return record.labels.size() <= max_labels &&
           std::ranges::all_of(record.labels, [](const std::string& label) {
               return label.size() <= max_name_bytes;
           });
}

std::string_view find_problem(const target_record& record) {
    if (!is_valid_id(record.id)) {
        return "the id is not a text of 1 to 256 visible ASCII characters without a slash";
    }
    if (record.service.empty() || record.service.size() > max_name_bytes) {
        return "the service does not have 1 to 256 bytes";
    }
    if (record.zone.size() > max_name_bytes) {
        return "the zone has more than 256 bytes";
    }
    if (!are_valid_labels(record)) {
        return "there are more than 64 labels, or one has more than 256 bytes";
    }
    if (!is_valid_address(record.address)) {
        return "the address is not an IP address with a port from 1 to 65535";
    }
    if (record.incarnation > max_incarnation || record.sequence > max_sequence) {
        return "the start time or the sequence number is too large";
    }
    if (!record.capacity.holds({}) || !max_capacity.holds(record.capacity)) {
        return "the capacity is negative or too large";
    }
    return {};
}

} // namespace

absl::Status check_target(const target_record& record) {
    const auto problem = find_problem(record);
    return problem.empty() ? absl::OkStatus()
                           : core::make_error(absl::StatusCode::kInvalidArgument,
                                              {.step = "check_target", .peer = record.id}, problem);
}

} // namespace hawthornstall::discovery
