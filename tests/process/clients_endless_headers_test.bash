#!/usr/bin/env bash
# Guards against a process that runs out of memory because a few clients send headers without an end.
set -euo pipefail
. tests/process/clients_common.bash

send_headers() {
    printf 'GET /jobs/5c0e7a21d94b36f8 HTTP/1.1\r\n'
    yes $'X-Filler: 0123456789012345678901234567890123456789\r' | head -c "$CROWD_BYTES"
}

start_hosts
check_listeners send_headers
