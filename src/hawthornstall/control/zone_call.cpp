#include "hawthornstall/control/zone_call.hpp"

#include <string>

namespace hawthornstall::control {

std::optional<zone_drain_order> decode_zone_call(std::string_view path,
                                                 const zone_call_names& names) {
    if (!path.starts_with(names.prefix)) {
        return std::nullopt;
    }
    path.remove_prefix(names.prefix.size());
    const bool drained = path.ends_with(names.drain_suffix);
    const auto suffix = drained ? names.drain_suffix : names.undrain_suffix;
    if (!path.ends_with(suffix)) {
        return std::nullopt;
    }
    path.remove_suffix(suffix.size());
    if (path.empty() || path.find('/') != std::string_view::npos) {
        return std::nullopt;
    }
    return zone_drain_order{.zone = std::string{path}, .drained = drained};
}

} // namespace hawthornstall::control
