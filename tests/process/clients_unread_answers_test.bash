#!/usr/bin/env bash
# Guards against a process that runs out of memory because a few clients send many requests ahead, at
# paths that no route has, and read none of the answers.
set -euo pipefail
. tests/process/clients_common.bash

send_requests() {
    yes $'GET /nowhere/5c0e7a21d94b36f8 HTTP/1.1\r\nHost: stall.example\r\n\r' | head -c "$CROWD_BYTES"
}

start_hosts
check_listeners send_requests
