#!/usr/bin/env bash
# Guards against a process that runs out of memory because a few clients announce bodies far over the
# limit and send them: each body was read up to 128 MiB, on machines of 120 MB.
set -euo pipefail
. tests/process/clients_common.bash

send_announced_body() {
    printf 'POST /nowhere/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: stall.example\r\nContent-Length: %s\r\n\r\n' \
        "$CROWD_BYTES"
    head -c "$CROWD_BYTES" /dev/zero
}

start_hosts
check_listeners send_announced_body
