#!/usr/bin/env bash
# Guards against tasks that are started twice: an owner is frozen under load and replaced, and after
# it resumes it starts tasks that its successor has already started.
set -euo pipefail
. tests/process/common.bash

start_cluster
start_targets
start_load 20 20 --mean_tasks 4 --resubmits 3 --deadline_ms 6000
sleep 3
owner=$(owner_in a1 zone-a)
[ "$owner" = a1 ] && observer=a2 || observer=a1
kill -STOP "${PID[$owner]}"
sleep 4
successor=$(owner_in "$observer" zone-a)
[ -n "$successor" ] && [ "$successor" != "$owner" ] || fail "no entry host took over from $owner"
kill -CONT "${PID[$owner]}"
sleep 2
echo "owner $owner was frozen for 4 s, $successor took over"
wait_load
check_no_double_start
