#!/usr/bin/env bash
# Guards against control hosts with damaged logs that give up their votes, vote for what they no
# longer have, or begin a second configuration log. One damaged host must not matter, and no
# acknowledged edit may be lost whatever is damaged.
set -euo pipefail
. tests/process/common.bash

start_cluster
version=1

# edit: submits the next edit, with up to 10 attempts.
edit() {
    ctl a1 team --attempts "${1:-10}" edit "$(write_document "$version" $((100 + version)))" \
        >"$DIR/edit.out" 2>&1 || return 1
    version=$((version + 1))
}

# restart_control DAMAGE...: kills all control hosts, runs DAMAGE, and starts them again.
restart_control() {
    local host
    for host in "${CONTROL_HOSTS[@]}"; do stop_process "$host" KILL || true; done
    "$@"
    for host in "${CONTROL_HOSTS[@]}"; do start_control "$host"; done
}

# flip NUMBER HOST...: flips a bit of the log record that is the NUMBERth from the end.
flip() {
    local number=$1 host
    for host in "${@:2}"; do
        "$BIN/damage_log" flip "$DIR/$host/config/log" "$number" || fail "the log of $host is whole"
    done
}

flip_snapshot() { "$BIN/damage_log" flip "$DIR/$1/config/snapshot" 1 || fail "no snapshot on $1"; }
flip_state() {
    local host
    for host in "$@"; do "$BIN/damage_log" flip "$DIR/$host/config/state" 1; done
}

# damage_reports: prints how many damaged folders the control hosts have logged.
damage_reports() { cat "$DIR"/c?.log | grep -c '"data_folder_damaged"' || true; }

# check_recovery NAME COUNT DAMAGE...: COUNT hosts report the damage, and edits go on.
check_recovery() {
    local name=$1 count=$2 before
    shift 2
    echo "$name"
    for _ in 1 2 3; do edit || fail "no edit before the damage: $(tail -1 "$DIR/edit.out")"; done
    before=$(damage_reports)
    restart_control "$@"
    wait_until 15 edit || fail "no edit on top of version $version: $(tail -1 "$DIR/edit.out")"
    [ $(($(damage_reports) - before)) = "$count" ] ||
        fail "$(($(damage_reports) - before)) of $count damaged hosts are reported"
}

check_recovery "last record of one log" 1 flip 1 c1
check_recovery "earlier record of one log" 1 flip 3 c2
check_recovery "last records of two logs" 2 flip 1 c1 c3
check_recovery "snapshot of one host" 1 flip_snapshot c2
wait_until 15 grep -q '"log_complete"' "$DIR/c1.log" || fail "the log of c1 stays incomplete"
if ls -d "$DIR"/c?/config.damaged-* 2>/dev/null; then
    fail "a host with a whole state file gave up its membership"
fi
check_recovery "state file of one host" 1 flip_state c3

# What the majority has lost cannot come back; it may only not be replaced by something else.
echo "the last records of all logs"
edit || fail "no edit before the damage: $(tail -1 "$DIR/edit.out")"
wait_until 10 has_version a1 "$version" || fail "a1 does not serve version $version"
restart_control flip 1 c1 c2 c3
sleep 5
edit 2 && fail "an edit was accepted although the last entries are lost on all hosts"
has_version a1 "$version" || fail "a1 no longer serves version $version"

echo "the state files of all hosts"
restart_control flip_state c1 c2 c3
sleep 5
edit 2 && fail "hosts that have lost their votes have created a second log"
has_version a1 "$version" || fail "a1 no longer serves version $version"
