#!/usr/bin/env bash
# Guards against requests that are cut off, lost or started twice while every entry host is shut
# down gracefully and started again under load, one after the other.
set -euo pipefail
. tests/process/common.bash

start_cluster
start_targets
start_load 24 20 --mean_tasks 4 --resubmits 3
for host in "${ENTRY_HOSTS[@]}"; do
    sleep 1
    stop_process "$host" TERM || fail "$host did not end gracefully"
    start_entry "$host"
    wait_until 10 is_healthy "$host"
    sleep 2
done
wait_load
check_no_double_start
