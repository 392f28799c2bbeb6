#!/usr/bin/env bash
# Guards against requests that are interrupted, lost or started twice during a rolling restart:
# under load, each entry host in turn is shut down gracefully and started again.
set -euo pipefail
. tests/process/common.bash

start_cluster
start_targets
start_load 24 20 --mean_tasks 4 --resubmits 3
for host in "${ENTRY_HOSTS[@]}"; do
    sleep 1
    stop_process "$host" TERM || fail "$host did not shut down gracefully"
    start_entry "$host"
    wait_until 10 is_healthy "$host"
    sleep 2
done
wait_load
check_no_double_start
