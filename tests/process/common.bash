# Functions shared by the process tests: they start a cluster that serves the service "restock", put
# load on it and check the results.
. scripts/cluster.bash

failures=0
# Prints the failure and counts it; the test goes on, and finish sets the exit code.
fail() {
    echo "FAILED: $*"
    failures=$((failures + 1))
}

# Stops the cluster on exit. Keeps the folder with the logs and exits with 1 after a failure.
finish() {
    stop_cluster
    if [ "$failures" -gt 0 ]; then
        echo "logs are in $DIR"
        exit 1
    fi
    rm -rf "$DIR"
}

# ctl HOST TOKEN ARGS...: runs hawthornstallctl against HOST; TOKEN is team, other_team, caller
# or operator.
ctl() {
    local host=$1 token=$2
    shift 2
    "$BIN/hawthornstallctl" --host "${HTTP[$host]}" --token_file "$DIR/$token.token" "$@"
}

write_tokens() {
    echo "$TEAM_TOKEN" >"$DIR/team.token"
    echo "$OTHER_TEAM_TOKEN" >"$DIR/other_team.token"
    echo "$CALLER_TOKEN" >"$DIR/caller.token"
    echo "$OPERATOR_TOKEN" >"$DIR/operator.token"
    chmod 600 "$DIR"/*.token
}

# write_document VERSION EXPECTED_MS: writes a service document and prints its file name.
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

# start_targets [FLAGS...]: starts 8 targets in zone-a and 4 in zone-b and waits until both zones
# have an owner of the service.
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

# start_load SECONDS RATE [FLAGS...]: starts the load tool in the background; wait_load awaits
# its end.
start_load() {
    local seconds=$1 rate=$2
    shift 2
    "$BIN/hawthornstall-load" --entry "$(entry_addresses)" --service restock \
        --token_file "$DIR/caller.token" --duration_s "$seconds" --rate "$rate" "$@" \
        >"$DIR/load.out" 2>&1 &
    load_pid=$!
}

# Waits for the load tool to finish and fails if it found a wrong answer.
wait_load() {
    local code=0
    wait "$load_pid" || code=$?
    [ $code = 0 ] || fail "the load tool found missing, partial or mismatched answers (exit code $code)"
    tail -25 "$DIR/load.out"
}

# check_no_double_start [FLAGS...]: fails if the start logs of the targets show a fault.
check_no_double_start() {
    "$BIN/check_starts" "$@" "$DIR"/*.starts >"$DIR/check.out" || fail "$(cat "$DIR/check.out")"
    tail -1 "$DIR/check.out"
}
