#pragma once

/// Third filter of the front end: which document governs the call.

#include "hawthornstall/control/applied_documents.hpp"
#include "hawthornstall/entry/pipeline_calls.hpp"

#include <absl/status/statusor.h>

#include <memory>

namespace hawthornstall::entry {

/// Finds the document of the called service and checks that it admits the caller.
class resolve_service {
public:
    using document_source = std::shared_ptr<const control::applied_documents>;

    /// Reads `*documents` at each call, so that a newer copy takes effect at once. The pointer must
    /// outlive the filter.
    explicit resolve_service(const document_source* documents) : documents_(documents) {}

    [[nodiscard]] absl::StatusOr<resolved_call> operator()(decoded_call call) const;

private:
    const document_source* documents_;
};

} // namespace hawthornstall::entry
