#!/usr/bin/env bash
# Guards against control hosts that give up their votes, or begin a second configuration log, because
# their last write was torn by a common loss of power. The write was not synced on any host.
set -euo pipefail
. tests/process/common.bash

start_cluster
version=1

# edit: submits the next edit, with up to 10 attempts.
edit() {
    ctl a1 team --attempts 10 edit "$(write_document "$version" $((100 + version)))" \
        >"$DIR/edit.out" 2>&1 || return 1
    version=$((version + 1))
}

# restart_with_torn_logs HOSTS HOW: kills all control hosts, appends a torn write to the logs of the
# first HOSTS of them, and starts them again.
restart_with_torn_logs() {
    local host
    for host in "${CONTROL_HOSTS[@]}"; do stop_process "$host" KILL || true; done
    for host in "${CONTROL_HOSTS[@]:0:$1}"; do
        "$BIN/damage_log" tear "$DIR/$host/config/log" "$2" || fail "the log of $host is as it was"
    done
    for host in "${CONTROL_HOSTS[@]}"; do start_control "$host"; done
}

# table: hosts, torn write
while read -r hosts how; do
    echo "$how on $hosts of 3 control hosts"
    edit || fail "no edit before the restart: $(tail -1 "$DIR/edit.out")"
    restart_with_torn_logs "$hosts" "$how"
    wait_until 15 edit || fail "no edit on top of version $version: $(tail -1 "$DIR/edit.out")"
    if grep -h data_folder_damaged "$DIR"/c?.log; then
        fail "a torn write was taken for damage"
    fi
done <<'TABLE'
1 front-then-zeros
2 front-then-noise
3 front-then-zeros
3 front-then-noise
3 end-after-zeros
TABLE

for host in "${ENTRY_HOSTS[@]}"; do
    wait_until 10 has_version "$host" "$version" || fail "$host does not serve version $version"
done
