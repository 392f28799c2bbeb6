#include "hawthornstall/runs/route_table.hpp"

namespace hawthornstall::runs {

const job_route* route_table::find(std::string_view host, std::string_view path) const {
    const job_route* longest = nullptr;
    for (const auto& route : routes) {
        if (route.host == host && path.starts_with(route.path_prefix) &&
            (longest == nullptr || longest->path_prefix.size() < route.path_prefix.size())) {
            longest = &route;
        }
    }
    return longest;
}

} // namespace hawthornstall::runs
