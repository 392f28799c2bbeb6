#!/usr/bin/env bash
# Guards against accepted edits that are lost, reverted or accepted twice, and against edits by
# callers and by other teams. The faults are concurrent
# edits by two operators, killed and frozen control hosts, an emptied data folder, and the loss of a
# second control host right after the repair of the first.
set -euo pipefail
. tests/process/common.bash

version_on() {
    call GET "$1" /v1/documents/restock "$CALLER_TOKEN"
    jq -r '.version // 0' <<<"$ANSWER"
}

start_cluster
version=1

# edit HOST: submits the next edit through HOST, with up to 10 attempts. An edit whose answer was
# lost is resent with the same identifier.
edit() {
    local file
    file=$(write_document "$version" $((100 + version)))
    ctl "$1" team --attempts 10 edit "$file" >"$DIR/edit.out" 2>&1 || return 1
    version=$((version + 1))
}

echo "two operators edit the same version concurrently, 10 times"
for round in $(seq 10); do
    left=$(write_document "$version" $((1000 + round)))
    right=$(write_document "$version" $((2000 + round)))
    left_code=0 right_code=0
    ctl a1 team edit "$left" >"$DIR/left.out" 2>&1 &
    left_pid=$!
    ctl b1 team edit "$right" >"$DIR/right.out" 2>&1 &
    right_pid=$!
    wait $left_pid || left_code=$?
    wait $right_pid || right_code=$?
    [ "$left_code/$right_code" = 0/5 ] || [ "$left_code/$right_code" = 5/0 ] ||
        fail "round $round ended with exit codes $left_code and $right_code"
    version=$((version + 1))
    for host in a1 b1; do wait_until 5 has_version "$host" "$version"; done
done

echo "a caller may not edit"
ctl a1 caller edit "$(write_document "$version" 7)" >"$DIR/edit.out" 2>&1 &&
    fail "a caller's token edited a document"

echo "another team may neither edit a document nor take it over"
foreign_ms=7777
for team in restock-team returns-team; do
    file=$DIR/foreign-$team.json
    jq --arg team "$team" '.team = $team' "$(write_document "$version" $foreign_ms)" >"$file"
    for host in "${ENTRY_HOSTS[@]}"; do
        code=0
        ctl "$host" other_team edit "$file" >"$DIR/foreign.out" 2>&1 || code=$?
        [ $code = 1 ] || fail "$host answered an edit of another team with exit code $code"
        grep -q "not_owner" "$DIR/foreign.out" || fail "$host: $(cat "$DIR/foreign.out")"
    done
done
# An accepted edit would be in force on all hosts after this time.
sleep 2
for host in "${ENTRY_HOSTS[@]}"; do
    call GET "$host" /v1/documents/restock "$CALLER_TOKEN"
    jq -e --argjson version "$version" --argjson foreign "$foreign_ms" \
        '.version == $version and .team == "restock-team"
         and .task.expected_run_time_ms != $foreign' <<<"$ANSWER" >/dev/null ||
        fail "$host serves another document after a refused edit: $ANSWER"
done

echo "200 edits while the control hosts are killed and restarted in turn"
for number in $(seq 200); do
    case $number in
    40) stop_process c1 KILL || true ;;
    80) start_control c1 ;;
    100) stop_process c2 KILL || true ;;
    140) start_control c2 ;;
    160) stop_process c3 KILL || true ;;
    190) start_control c3 ;;
    esac
    wait_until 20 edit a1 || fail "edit $number: $(cat "$DIR/edit.out")"
done
for host in "${ENTRY_HOSTS[@]}"; do wait_until 5 has_version "$host" "$version"; done
echo "version $version is in force on all entry hosts"

echo "c1 loses its disk and is repaired; then c2 is lost"
stop_process c1 KILL || true
rm -rf "${DIR:?}/c1" && mkdir "$DIR/c1"
start_control c1
sleep 6
stop_process c2 KILL || true
wait_until 20 edit b1 || fail "no edit was accepted after the repair: $(cat "$DIR/edit.out")"
start_control c2

echo "c3 is frozen for 5 s and must not revert any edit after it resumes"
kill -STOP "${PID[c3]}"
for number in 1 2 3; do wait_until 20 edit a2 || fail "edit while c3 is frozen"; done
sleep 5
kill -CONT "${PID[c3]}"
sleep 2
for host in "${ENTRY_HOSTS[@]}"; do
    [ "$(version_on "$host")" = "$version" ] || fail "$host runs version $(version_on "$host"), not $version"
done

echo "all control hosts and one entry host stop; the entry host serves its saved version alone"
for host in "${CONTROL_HOSTS[@]}" a1; do stop_process "$host" KILL || true; done
start_entry a1
wait_until 15 is_healthy a1
wait_until 5 has_version a1 "$version"
stop_process a1 KILL || true
for host in "${CONTROL_HOSTS[@]}"; do start_control "$host"; done
start_entry a1
wait_until 15 is_healthy a1
wait_until 10 has_version a1 "$version"
wait_until 20 edit a3 || fail "no edit was accepted after the restart"
call GET a1 /v1/audit "$OPERATOR_TOKEN"
records=$(jq length <<<"$ANSWER")
[ "$records" = "$version" ] || fail "the audit trail has $records records for $version versions"
jq -e '[.[] | .to_version - .from_version] | all(. == 1)' <<<"$ANSWER" >/dev/null ||
    fail "the audit trail has a gap"
grep -q -e "$TEAM_TOKEN" -e "$OTHER_TEAM_TOKEN" "$DIR"/*.log && fail "a token appears in a log"
echo "version $version, $records audit records"
