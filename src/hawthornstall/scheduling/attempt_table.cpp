#include "hawthornstall/scheduling/attempt_table.hpp"

namespace hawthornstall::scheduling {

attempt_id attempt_table::add(const attempt_state& attempt) {
    if (unused_.empty()) {
        unused_.push_back(static_cast<std::uint32_t>(slots_.size()));
        slots_.emplace_back();
    }
    const auto index = unused_.back();
    unused_.pop_back();
    auto& slot = slots_[index];
    slot.attempt = attempt;
    slot.used = true;
    auto& job = *attempt.job;
    slot.attempt.previous.reset();
    slot.attempt.next = job.first_attempt;
    if (job.first_attempt) {
        slots_[*job.first_attempt].attempt.previous = index;
    }
    job.first_attempt = index;
    return {index, slot.generation};
}

attempt_state* attempt_table::find(attempt_id id) {
    if (id.slot >= slots_.size()) {
        return nullptr;
    }
    auto& slot = slots_[id.slot];
    return slot.used && slot.generation == id.generation ? &slot.attempt : nullptr;
}

void attempt_table::detach(attempt_id id) {
    auto& attempt = slots_[id.slot].attempt;
    if (attempt.job == nullptr) {
        return;
    }
    if (attempt.previous) {
        slots_[*attempt.previous].attempt.next = attempt.next;
    } else {
        attempt.job->first_attempt = attempt.next;
    }
    if (attempt.next) {
        slots_[*attempt.next].attempt.previous = attempt.previous;
    }
    attempt.job = nullptr;
    attempt.previous.reset();
    attempt.next.reset();
}

void attempt_table::erase(attempt_id id) {
    detach(id);
    auto& slot = slots_[id.slot];
    slot.used = false;
    ++slot.generation;
    unused_.push_back(id.slot);
}

} // namespace hawthornstall::scheduling
