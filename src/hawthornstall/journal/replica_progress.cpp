#include "hawthornstall/journal/replica_progress.hpp"

namespace hawthornstall::journal {

bool replica_progress::update(const replica_status& latest, core::time_ms now) {
    const bool is_new_incarnation = latest.incarnation != status.incarnation;
    if (!is_new_incarnation && latest.generation < status.generation) {
        return false;
    }
    if (is_new_incarnation || latest.generation != status.generation) {
        reset();
    }
    status = latest;
    has_answered = true;
    heard_at = now;
    return true;
}

void replica_progress::reset() {
    has_answered = false;
    fenced = false;
    in_sync = false;
    applied = 0;
    barrier_sequence = 0;
    snapshot_sent = false;
    sent_at = {};
    snapshot.reset();
}

} // namespace hawthornstall::journal
