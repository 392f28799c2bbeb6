#include "hawthornstall/journal/owner_peer.hpp"

namespace hawthornstall::journal {

bool owner_peer::update(const replica_status& latest, core::time_ms now) {
    const bool is_new_incarnation = latest.incarnation != status.incarnation;
    if (!is_new_incarnation && latest.generation < status.generation) {
        return false;
    }
    if (is_new_incarnation || latest.generation != status.generation) {
        reset();
    }
    status = latest;
    reported = true;
    heard_at = now;
    return true;
}

void owner_peer::reset() {
    reported = false;
    fenced = false;
    synced = false;
    applied = 0;
    confirm_at = 0;
    is_copied = false;
    sent_at = {};
    records.reset();
}

} // namespace hawthornstall::journal
