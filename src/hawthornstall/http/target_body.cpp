#include "hawthornstall/http/target_body.hpp"

#include "hawthornstall/http/json_reader.hpp"

#include <nlohmann/json.hpp>

#include <cstdint>

namespace hawthornstall::http {
namespace detail {
namespace {

/// Length of "ip:port". The longest form is an IPv6 address with a zone index and a port.
constexpr length_range address_length{1, 80};

/// Duration of a lease in ms. A shorter lease would expire between two announcements; a longer one
/// would keep a failed target in use.
constexpr number_range lease_range_ms{100, 60'000};

std::uint32_t read_count(object_reader& reader, const char* field) {
    return static_cast<std::uint32_t>(reader.number(field, presence::optional, {0, UINT32_MAX}));
}

core::target_capacity read_capacity(object_reader reader) {
    return {.slots = read_count(reader, "slots"),
            .connections = read_count(reader, "connections"),
            .cores = read_count(reader, "cores"),
            .memory_mb = read_count(reader, "memory_mb"),
            .accelerators = read_count(reader, "accelerators")};
}

core::target_announcement read_announcement(object_reader& reader, fault_recorder& faults) {
    core::target_announcement target;
    target.name = reader.text("name", presence::required, name_length);
    target.incarnation = reader.number("incarnation", presence::required);
    target.sequence = reader.number("sequence", presence::required);
    target.zone = reader.text("zone", presence::required, name_length);
    target.rack = reader.text("rack", presence::optional, {0, name_length.longest});
    target.address = reader.text("address", presence::required, address_length);
    reader.each("services", presence::required, [&](const auto& name, const auto& path) {
        target.services.push_back(read_text(name, path, name_length, faults));
    });
    target.capacity = read_capacity(reader.object("capacity", presence::optional));
    if (reader.has("lease_ms")) {
        target.lease = core::duration_ms{static_cast<core::duration_ms::rep>(
            reader.number("lease_ms", presence::required, lease_range_ms))};
    }
    target.leaving = reader.flag("leaving", presence::optional);
    return target;
}

} // namespace
} // namespace detail

absl::StatusOr<core::target_announcement> decode_target_announcement(std::string_view body) {
    detail::fault_recorder faults{"decode_announcement"};
    const auto document = detail::parse_document(body, faults);
    detail::object_reader reader{document, "", faults};
    auto target = detail::read_announcement(reader, faults);
    if (!faults.status().ok()) {
        return faults.status();
    }
    return target;
}

absl::StatusOr<core::target_announcement> decode_target_leave(std::string_view body) {
    auto target = decode_target_announcement(body);
    if (target.ok()) {
        target->leaving = true;
    }
    return target;
}

absl::StatusOr<std::string>
encode_target_announcement(const core::target_announcement& announcement) {
    const auto& capacity = announcement.capacity;
    return detail::write_document({{"name", announcement.name},
                                   {"incarnation", announcement.incarnation},
                                   {"sequence", announcement.sequence},
                                   {"zone", announcement.zone},
                                   {"rack", announcement.rack},
                                   {"address", announcement.address},
                                   {"services", announcement.services},
                                   {"capacity",
                                    {{"slots", capacity.slots},
                                     {"connections", capacity.connections},
                                     {"cores", capacity.cores},
                                     {"memory_mb", capacity.memory_mb},
                                     {"accelerators", capacity.accelerators}}},
                                   {"lease_ms", announcement.lease.count()},
                                   {"leaving", announcement.leaving}});
}

} // namespace hawthornstall::http
