#include "hawthornstall/entry/decode_call.hpp"

#include "hawthornstall/http/job_body.hpp"

#include <utility>

namespace hawthornstall::entry {

absl::StatusOr<decoded_call> decode_call::operator()(const authenticated_call& call) const {
    auto job = http::decode_job_request(call.call.body,
                                        {.service = call.call.service, .caller = call.caller.name});
    if (!job.ok()) {
        return job.status();
    }
    return decoded_call{.kind = call.call.kind, .caller = call.caller, .job = *std::move(job)};
}

} // namespace hawthornstall::entry
