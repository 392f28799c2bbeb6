#include "hawthornstall/control/zone_rows.hpp"

#include <set>

namespace hawthornstall::control {

std::vector<status::zone_row> zone_rows(std::span<const std::string> zones,
                                        const zone_drains& drains) {
    std::set<std::string> names{zones.begin(), zones.end()};
    names.insert(drains.zones.begin(), drains.zones.end());
    std::vector<status::zone_row> rows;
    rows.reserve(names.size());
    for (const auto& name : names) {
        rows.push_back(
            {.name = name, .drained = drains.contains(name), .revision = drains.revision});
    }
    return rows;
}

} // namespace hawthornstall::control
