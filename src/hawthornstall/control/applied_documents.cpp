#include "hawthornstall/control/applied_documents.hpp"

#include <algorithm>

namespace hawthornstall::control {

std::vector<std::string_view> applied_documents::apply(const config_delta& delta) {
    std::vector<std::string_view> changed;
    for (const auto& document : delta.documents) {
        const auto position = std::ranges::lower_bound(documents_, document.service, {},
                                                       &core::service_document::service);
        if (position == documents_.end() || position->service != document.service) {
            documents_.insert(position, document);
        } else if (position->version < document.version) {
            *position = document;
        } else {
            continue;
        }
        // The views refer to `delta`, because inserting moves the documents of the copy.
        changed.emplace_back(document.service);
    }
    if (delta.numbered && delta.numbered->version > numbered_.version) {
        numbered_ = *delta.numbered;
    }
    if (delta.drains && delta.drains->revision > drains_.revision) {
        drains_ = *delta.drains;
    }
    // A delta that starts after the copy's revision leaves a gap, which the next digest reveals.
    if (delta.from_revision <= revision_) {
        revision_ = std::max(revision_, delta.to_revision);
    }
    return changed;
}

digest_outcome applied_documents::check(const config_digest& digest, core::time_ms now) {
    if (digest.revision < revision_) {
        return digest_outcome::control_behind;
    }
    if (digest.revision > revision_) {
        return digest_outcome::behind;
    }
    if (digest.versions_hash != versions_hash(documents_)) {
        return digest_outcome::differs;
    }
    const auto confirmed = now - digest.confirmation_age;
    last_confirmed_ = std::max(last_confirmed_.value_or(confirmed), confirmed);
    return digest_outcome::confirmed;
}

const core::service_document* applied_documents::find(std::string_view service) const {
    const auto found =
        std::ranges::lower_bound(documents_, service, {}, &core::service_document::service);
    return found == documents_.end() || found->service != service ? nullptr : &*found;
}

bool applied_documents::may_be_stale(core::time_ms now) const {
    return !last_confirmed_ || now - *last_confirmed_ > stale_after_;
}

} // namespace hawthornstall::control
