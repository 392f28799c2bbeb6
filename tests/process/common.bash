# Shared parts of the process tests: a running cluster with the service "restock" in force.
. scripts/cluster.bash

failures=0
fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}

finish() {
    stop_cluster
    if [ "$failures" -gt 0 ]; then
        echo "logs are in $DIR"
        exit 1
    fi
    rm -rf "$DIR"
}

ctl() {
    local host=$1 token=$2
    shift 2
    "$BIN/hawthornstallctl" --host "${HTTP[$host]}" --token_file "$DIR/$token.token" "$@"
}

write_tokens() {
    echo "$TEAM_TOKEN" >"$DIR/team.token"
    echo "$CALLER_TOKEN" >"$DIR/caller.token"
    echo "$OPERATOR_TOKEN" >"$DIR/operator.token"
    chmod 600 "$DIR"/*.token
}

# write_document VERSION EXPECTED_MS
write_document() {
    jq -n --argjson version "$1" --argjson expected "$2" \
        '{service: "restock", team: "restock-team", version: $version,
          task: {expected_run_time_ms: $expected},
          terms: {default_deadline_ms: 5000, max_deadline_ms: 20000}}' >"$DIR/restock-$1-$2.json"
    echo "$DIR/restock-$1-$2.json"
}

create_service() { ctl a1 team create "$(write_document 0 100)" >"$DIR/create.out" 2>&1; }

start_cluster() {
    prepare_cluster
    trap finish EXIT
    write_tokens
    local host
    for host in "${CONTROL_HOSTS[@]}"; do start_control "$host"; done
    for host in "${ENTRY_HOSTS[@]}"; do start_entry "$host"; done
    for host in "${ENTRY_HOSTS[@]}"; do wait_until 15 is_healthy "$host"; done
    wait_until 15 create_service
    for host in "${ENTRY_HOSTS[@]}"; do wait_until 10 has_version "$host" 1; done
}

start_targets() {
    start_target ma zone-a a1,a2,a3 --count 8 "$@"
    start_target mb zone-b b1,b2 --count 4 "$@"
    wait_until 15 has_targets a1 8
    wait_until 15 has_targets b1 4
    wait_until 10 has_owner a1 zone-a
    wait_until 10 has_owner b1 zone-b
}

entry_addresses() {
    local host addresses=''
    for host in "${ENTRY_HOSTS[@]}"; do addresses+=${addresses:+,}${HTTP[$host]}; done
    echo "$addresses"
}

# start_load SECONDS RATE [FLAGS...]: in the background; wait_load ends it.
start_load() {
    local seconds=$1 rate=$2
    shift 2
    "$BIN/hawthornstall-load" --entry "$(entry_addresses)" --service restock \
        --token_file "$DIR/caller.token" --duration_s "$seconds" --rate "$rate" "$@" \
        >"$DIR/load.out" 2>&1 &
    LOAD=$!
}

wait_load() {
    local code=0
    wait "$LOAD" || code=$?
    [ $code = 0 ] || fail "the load tool found missing, partial or crossed answers (exit code $code)"
    tail -25 "$DIR/load.out"
}

check_no_double_start() {
    "$BIN/check_starts" "$@" "$DIR"/*.starts >"$DIR/check.out" || fail "$(cat "$DIR/check.out")"
    tail -1 "$DIR/check.out"
}
