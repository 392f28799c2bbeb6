#pragma once

/// The availability zones and their drains as rows for operators.

#include "hawthornstall/control/zone_drains.hpp"
#include "hawthornstall/status/status_rows.hpp"

#include <span>
#include <string>
#include <vector>

namespace hawthornstall::control {

/// One row for each of `zones` and each drained zone, sorted by name.
[[nodiscard]] std::vector<status::zone_row> zone_rows(std::span<const std::string> zones,
                                                      const zone_drains& drains);

} // namespace hawthornstall::control
