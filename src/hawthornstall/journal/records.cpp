#include "hawthornstall/journal/records.hpp"

#include <xxhash.h>

#include <memory>
#include <string_view>

namespace hawthornstall::journal {
namespace detail {

struct hash_state_deleter {
    void operator()(XXH3_state_t* state) const noexcept { XXH3_freeState(state); }
};

/// Hashes the length before the bytes, so that moving a byte between two fields changes the digest.
void update_hash(XXH3_state_t* state, std::string_view text) {
    const std::uint64_t length = text.size();
    XXH3_128bits_update(state, &length, sizeof(length));
    XXH3_128bits_update(state, text.data(), text.size());
}

} // namespace detail

content_digest digest_of(const core::job_request& request) {
    const std::unique_ptr<XXH3_state_t, detail::hash_state_deleter> state{XXH3_createState()};
    XXH3_128bits_reset(state.get());
    detail::update_hash(state.get(), request.service);
    detail::update_hash(state.get(), request.caller);
    detail::update_hash(state.get(), request.idempotent ? "1" : "0");
    for (const auto& task : request.tasks) {
        detail::update_hash(state.get(), task.payload);
    }
    const auto hash = XXH3_128bits_digest(state.get());
    return {.low = hash.low64, .high = hash.high64};
}

job_end make_job_end(const core::job_answer& answer, std::size_t max_bytes) {
    std::size_t bytes = 0;
    for (const auto& result : answer.results) {
        bytes += result.size();
    }
    const bool kept = bytes <= max_bytes;
    return {.outcome = answer.outcome,
            .reason = answer.reason,
            .results = kept ? answer.results : std::vector<std::string>{},
            .answer_kept = kept};
}

} // namespace hawthornstall::journal
