#pragma once

/// Third filter for calls: finds the document of the called service.

#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

#include <memory>

namespace hawthornstall::entry {

/// Refuses calls of unknown services and of callers that the service's document does not admit.
class resolve_service {
public:
    using document_source = std::shared_ptr<const control::applied_documents>;

    /// Reads `*documents` for each call, so that a newer copy takes effect at once. `documents`
    /// must outlive the filter.
    explicit resolve_service(const document_source* documents) : documents_(documents) {}

    [[nodiscard]] absl::StatusOr<resolved_call> operator()(decoded_call call) const;

private:
    const document_source* documents_;
};

} // namespace hawthornstall::entry
