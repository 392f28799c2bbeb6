# Functions that run a small deployment as separate processes on loopback: three control hosts, five
# entry hosts in two availability zones, and stand-in targets. Sourced by scripts/demo and by the
# process tests. Stops only the processes that it has started, by process id.

BIN=${BIN:-build/test/bin}
declare -A PID=() HTTP=() PEER=() LINK=()
CALLER_TOKEN=demo-caller-token-0001
TEAM_TOKEN=demo-team-token-000001
OTHER_TEAM_TOKEN=demo-other-team-token-1
OPERATOR_TOKEN=demo-operator-token-01
CONTROL_HOSTS=(c1 c2 c3)
ENTRY_HOSTS=(a1 a2 a3 b1 b2)
declare -A ZONE=([a1]=zone-a [a2]=zone-a [a3]=zone-a [b1]=zone-b [b2]=zone-b)
declare -A REPLICAS=([zone-a]='["a1","a2","a3"]' [zone-b]='["b1","b2","a1"]')

# Clusters that run at the same time need distinct port ranges; PORT_BASE is the start of the range.
next_port=${PORT_BASE:-$((20000 + RANDOM % 8000))}
# Sets FREE_PORT to a loopback port on which nothing listens; prints nothing.
free_port() {
    while :; do
        next_port=$((next_port + 1))
        if ! (exec 3<>"/dev/tcp/127.0.0.1/$next_port") 2>/dev/null; then
            FREE_PORT=$next_port
            return
        fi
    done
}

# Creates the folder DIR, assigns addresses, and writes the settings of all hosts; starts nothing.
prepare_cluster() {
    DIR=$(mktemp -d /tmp/hawthornstall.XXXXXX)
    local name
    for name in "${CONTROL_HOSTS[@]}" "${ENTRY_HOSTS[@]}"; do
        free_port
        PEER[$name]=127.0.0.1:$FREE_PORT
        free_port
        HTTP[$name]=127.0.0.1:$FREE_PORT
    done
    for name in "${CONTROL_HOSTS[@]}"; do
        mkdir "$DIR/$name"
        write_control_settings "$name"
    done
    for name in "${ENTRY_HOSTS[@]}"; do
        mkdir "$DIR/$name"
        write_entry_settings "$name"
    done
}

# Prints a JSON array of {"name", "peer_address"} of the hosts in the arguments.
host_list() {
    local name
    for name in "$@"; do
        jq -n --arg name "$name" --arg address "${PEER[$name]}" '{name: $name, peer_address: $address}'
    done | jq -s .
}

write_control_settings() {
    jq -n --arg name "$1" --arg peer "${PEER[$1]}" --arg folder "$DIR/$1" \
        --argjson voters "$(host_list "${CONTROL_HOSTS[@]}")" \
        --argjson entry "$(host_list "${ENTRY_HOSTS[@]}")" \
        '{name: $name, peer_address: $peer, data_folder: $folder, voters: $voters, entry_hosts: $entry}' \
        >"$DIR/$1.json"
}

write_entry_settings() {
    local name peers
    peers=$(for name in "${ENTRY_HOSTS[@]}"; do
        [ "$name" = "$1" ] || jq -n --arg name "$name" --arg zone "${ZONE[$name]}" \
            --arg address "${PEER[$name]}" '{name: $name, zone: $zone, peer_address: $address}'
    done | jq -s .)
    jq -n --arg name "$1" --arg zone "${ZONE[$1]}" --arg http "${HTTP[$1]}" --arg peer "${PEER[$1]}" \
        --argjson peers "$peers" --argjson replicas "${REPLICAS[${ZONE[$1]}]}" \
        --argjson control "$(host_list "${CONTROL_HOSTS[@]}")" \
        --arg folder "$DIR/$1" --arg caller "$CALLER_TOKEN" --arg team "$TEAM_TOKEN" \
        --arg other_team "$OTHER_TEAM_TOKEN" --arg operator "$OPERATOR_TOKEN" \
        '{name: $name, zone: $zone, http_address: $http, peer_address: $peer, peers: $peers,
          data_folder: $folder, journal_replicas: $replicas, control_hosts: $control,
          tokens: [{token: $caller, name: "van-7", role: "caller", team: "restock-team"},
                   {token: $team, name: "marta", role: "team", team: "restock-team"},
                   {token: $other_team, name: "jordi", role: "team", team: "returns-team"},
                   {token: $operator, name: "oncall", role: "operator"}]}' >"$DIR/$1.json"
}

# start_control NAME [FLAGS...]: starts a control host and stores its process id in PID.
start_control() {
    "$BIN/hawthornstall-controld" --settings "$DIR/$1.json" "${@:2}" >>"$DIR/$1.log" 2>&1 &
    PID[$1]=$!
}

start_entry() {
    "$BIN/hawthornstall-entryd" --settings "$DIR/$1.json" >>"$DIR/$1.log" 2>&1 &
    PID[$1]=$!
}

# start_target NAME ZONE ENTRY_HOSTS [FLAGS...]: starts a stand-in target that connects to
# ENTRY_HOSTS, a comma-separated list of names.
start_target() {
    local name=$1 zone=$2 hosts=$3 addresses='' host
    shift 3
    for host in ${hosts//,/ }; do addresses+=${addresses:+,}${HTTP[$host]}; done
    "$BIN/standin-target" --name "$name" --zone "$zone" --entry "$addresses" --services restock \
        --log "$DIR/$name.starts" "$@" >>"$DIR/$name.log" 2>&1 &
    PID[$name]=$!
}

# stop_process NAME [SIGNAL]: sends SIGNAL (TERM by default), waits, and returns the exit code.
stop_process() {
    kill "-${2:-TERM}" "${PID[$1]}" 2>/dev/null || true
    local code=0
    wait "${PID[$1]}" 2>/dev/null || code=$?
    unset "PID[$1]"
    return $code
}

# Kills all processes of the cluster, after resuming those that were stopped by SIGSTOP.
stop_cluster() {
    local name
    for name in "${!PID[@]}"; do kill -CONT "${PID[$name]}" 2>/dev/null || true; done
    for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null || true; done
    wait 2>/dev/null || true
}

# call METHOD HOST PATH TOKEN [BODY] [HEADER...]: sends an HTTP request and sets STATUS and ANSWER
# (the response body). STATUS 000 means that no response arrived.
call() {
    local method=$1 host=$2 path=$3 token=$4 body=${5:-} headers=() header
    shift $(($# < 5 ? $# : 5))
    for header in "$@"; do headers+=(-H "$header"); done
    ANSWER=$(curl -s --max-time 20 -X "$method" -H "Authorization: Bearer $token" "${headers[@]}" \
        ${body:+--data-binary "$body"} -w '\n%{http_code}' "http://${HTTP[$host]}$path") || true
    STATUS=${ANSWER##*$'\n'}
    ANSWER=${ANSWER%$'\n'*}
}

# wait_until SECONDS COMMAND...: repeats COMMAND until it succeeds; fails after SECONDS.
wait_until() {
    local end=$((SECONDS + $1))
    shift
    until "$@"; do
        if [ $SECONDS -ge $end ]; then
            echo "timed out: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

is_healthy() {
    call GET "$1" /healthz none
    [ "$STATUS" = 200 ]
}

# has_version HOST VERSION: HOST serves this version of the service document.
has_version() {
    call GET "$1" /v1/documents/restock "$CALLER_TOKEN"
    [ "$(jq -r '.version // 0' <<<"$ANSWER" 2>/dev/null)" = "$2" ]
}

# has_targets HOST COUNT: HOST reports exactly COUNT available targets.
has_targets() {
    call GET "$1" /v1/targets "$OPERATOR_TOKEN"
    [ "$(jq '[.[] | select(.available)] | length' <<<"$ANSWER" 2>/dev/null)" = "$2" ]
}

# owner_in HOST ZONE: prints the name of the entry host that owns the service in ZONE according to
# HOST. The output is empty if there is none.
owner_in() {
    call GET "$1" /v1/hosts "$OPERATOR_TOKEN"
    jq -r --arg zone "$2" '[.[] | select(.zone == $zone and .reachable and (.owned | index("restock")))][0].name // ""' \
        <<<"$ANSWER" 2>/dev/null
}

has_owner() { [ -n "$(owner_in "$1" "$2")" ]; }

# make_job ID COUNT RUN_MS IDEMPOTENT PREFIX: prints a job body; an empty ID omits submission_id.
make_job() {
    jq -cn --arg id "$1" --argjson count "$2" --arg run "$3" --argjson idempotent "$4" --arg prefix "$5" \
        '{idempotent: $idempotent, deadline_ms: 10000,
          tasks: [range($count) | {payload: "run_ms=\($run) \($prefix)-\(.)"}]}
         + (if $id == "" then {} else {submission_id: $id} end)'
}

# has_all_results COUNT RUN_MS PREFIX: ANSWER holds the results of all COUNT tasks of the job in
# order, each equal to the payload of its task.
has_all_results() {
    jq -e --argjson count "$1" --arg run "$2" --arg prefix "$3" \
        '.outcome == "answered" and (.results | length) == $count
         and .results == [range($count) | "run_ms=\($run) \($prefix)-\(.)"]' <<<"$ANSWER" >/dev/null
}

# has_all_results_or_error COUNT RUN_MS PREFIX: ANSWER holds all results, or an error outcome and no
# results.
has_all_results_or_error() {
    has_all_results "$@" || jq -e '(.outcome | IN("refused_not_run", "failed", "may_have_run"))
        and ((.results // []) | length) == 0' <<<"$ANSWER" >/dev/null
}

# issue_id HOST: requests a submission id from HOST and sets ID.
issue_id() {
    call POST "$1" /v1/submission-ids "$CALLER_TOKEN" '{"service":"restock"}'
    ID=$(jq -r '.submission_id // ""' <<<"$ANSWER" 2>/dev/null)
    [ -n "$ID" ]
}
