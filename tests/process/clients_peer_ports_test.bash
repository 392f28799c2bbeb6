#!/usr/bin/env bash
# Guards against a process that runs out of memory because a few clients that are no hosts of the
# system announce large messages on the ports between hosts.
set -euo pipefail
. tests/process/clients_common.bash

# A frame of 64 MiB - 1 byte, nearly the largest length that is accepted, without its last byte.
send_frame() {
    printf '\x03\xff\xff\xff'
    head -c 67108862 /dev/zero
}

start_hosts
for listener in "127.0.2.1 $ENTRY_PEER" "127.0.1.1 $CONTROL_PEER"; do
    echo "crowd at $listener"
    # shellcheck disable=SC2086
    start_crowd $listener send_frame
    check_hosts
    stop_crowd
done
