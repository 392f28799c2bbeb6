#!/usr/bin/env bash
# Guards against a process that runs out of memory because a few clients send bodies far over the
# limit without announcing their length.
set -euo pipefail
. tests/process/clients_common.bash

readonly chunk_bytes=1000000

send_chunked_body() {
    local sent
    printf 'POST /nowhere/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: stall.example\r\nTransfer-Encoding: chunked\r\n\r\n'
    for ((sent = 0; sent < CROWD_BYTES; sent += chunk_bytes)); do
        printf '%x\r\n' "$chunk_bytes"
        head -c "$chunk_bytes" /dev/zero
        printf '\r\n'
    done
}

start_hosts
check_listeners send_chunked_body
