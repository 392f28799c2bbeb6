#include "hawthornstall/control/document_edit.hpp"

#include <xxhash.h>

#include <concepts>
#include <memory>
#include <new>
#include <string_view>
#include <type_traits>

namespace hawthornstall::control {
namespace detail {

struct hash_state_deleter {
    void operator()(XXH3_state_t* state) const noexcept { XXH3_freeState(state); }
};

/// Streaming hash over fields; strings are length-prefixed so that no two field lists coincide.
class field_hash {
public:
    field_hash() : state_(XXH3_createState()) {
        if (state_ == nullptr || XXH3_64bits_reset(state_.get()) != XXH_OK) {
            throw std::bad_alloc{};
        }
    }

    template <class Number>
        requires std::integral<Number> || std::is_enum_v<Number>
    void add(Number number) {
        const auto wide = static_cast<std::uint64_t>(number);
        XXH3_64bits_update(state_.get(), &wide, sizeof wide);
    }

    void add(core::duration_ms duration) { add(duration.count()); }

    void add(std::string_view text) {
        add(text.size());
        XXH3_64bits_update(state_.get(), text.data(), text.size());
    }

    [[nodiscard]] std::uint64_t digest() const { return XXH3_64bits_digest(state_.get()); }

private:
    std::unique_ptr<XXH3_state_t, hash_state_deleter> state_;
};

template <class... Fields> void add_all(field_hash& hash, const Fields&... fields) {
    (hash.add(fields), ...);
}

} // namespace detail

std::uint64_t content_hash(const edit_command& edit) {
    const auto& document = edit.document;
    detail::field_hash hash;
    detail::add_all(hash, std::string_view{edit.service}, edit.base_version,
                    std::string_view{edit.actor}, std::string_view{edit.actor_team},
                    std::string_view{document.service}, std::string_view{document.team},
                    document.model, document.order);
    detail::add_all(hash, document.task.cores, document.task.memory_mb, document.task.accelerators,
                    document.task.expected_run_time);
    detail::add_all(hash, document.accepts.max_tasks_per_job, document.accepts.max_payload_bytes,
                    document.accepts.max_answer_bytes, document.accepts.callers.size());
    for (const auto& caller : document.accepts.callers) {
        hash.add(std::string_view{caller});
    }
    detail::add_all(hash, document.terms.default_deadline, document.terms.max_deadline,
                    document.retry.budget_percent, document.retry.max_attempts,
                    document.retry.retry_failed_starts, document.retry.hedge,
                    document.quota.max_queued_tasks, document.quota.max_running_tasks);
    return hash.digest();
}

} // namespace hawthornstall::control
