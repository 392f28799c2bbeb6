# Functions for the scripts review/N/run.sh: they start a small deployment as separate processes on
# loopback, send requests and write what was sent, answered and run to record.txt.
#
# All times are those of CLOCK_BOOTTIME in ms, which the stand-in worker uses too. /proc/uptime shows
# it to 10 ms.
#
# A script calls run_case FUNCTION at its end. FUNCTION returns 1 if the rule was broken and 0 if it
# held; the script exits with 2 if the case could not run.

# The script runs itself again under a time limit, after which it counts as a case that could not run.
if [ -z "${REVIEW_TIMED:-}" ]; then
    REVIEW_TIMED=1 timeout --signal=TERM --kill-after=15 100 "$0"
    status=$?
    [ "$status" -le 2 ] || status=2
    exit "$status"
fi
trap 'exit 2' TERM

here=$(cd "$(dirname "${BASH_SOURCE[1]}")" && pwd)
cd "$here/../.." || exit 2
TROUBLE=${TROUBLE:-1}
PROGRAMS=target/bin
STANDINS=target/review-3/bin
RECORD=$here/record.txt
DIR=
declare -A PID=()

# A network of this run's own within 127.0.0.0/8.
NETWORK=127.$((32 + $$ % 200))
CONTROL_PEER=7720 ENTRY_PEER=7735 FRONTEND=8161 READY=8167 OPERATOR=8166 WORKER=8080 METRICS=9464

# Settings of the machines; a script may change them before start_deployment.
CONTROL_COUNT=3 ENTRY_COUNT=2 WORKER_COUNT=3
ENTRY_SHARES=(0.25 0.25 0.25 0.25)
ZONES=(bilbao oviedo pamplona)

now() {
    local up rest
    read -r up rest </proc/uptime
    echo "${up/./}0"
}

record() { echo "$(now) $*" >>"$RECORD"; }

give_up() {
    record "the case could not run: $*"
    echo "the case could not run: $*" >&2
    exit 2
}

pause_until() {
    local left=$(($1 - $(now)))
    [ "$left" -le 0 ] || sleep "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

zone_of() { echo "${ZONES[$((($1 - 1) % 3))]}"; }

# write_settings NAME ZONE IP CPU_SHARE EXTRA: what the templates in deploy/ make of the settings.
write_settings() {
    cat >"$DIR/$1.json" <<JSON
{"name": "$1", "zone": "$2", "ip": "$3", "cpu_share": $4, "control_peer_port": $CONTROL_PEER,
 "entry_peer_port": $ENTRY_PEER, "zones": ["bilbao", "oviedo", "pamplona"],
 "seeds": ["$NETWORK.1.1:$OPERATOR", "$NETWORK.1.2:$OPERATOR", "$NETWORK.1.3:$OPERATOR"],
 "metrics_address": "$3:$METRICS", "shutdown_grace_s": 6, "file_descriptors": 4096, $5}
JSON
}

# start NAME COMMAND...: starts a process and remembers its id.
start() {
    local name=$1
    shift
    "$@" >>"$DIR/$name.log" 2>&1 &
    PID[$name]=$!
    record "process $name started"
}

start_control() { start "control-$1" $PROGRAMS/hawthornstall-platform-control --settings "$DIR/control-$1.json"; }
start_entry() { start "entry-$1" $PROGRAMS/hawthornstall-platform-entry --settings "$DIR/entry-$1.json"; }

start_worker() {
    local controls='' number
    for number in $(seq "$CONTROL_COUNT"); do
        controls+=${controls:+,}$NETWORK.1.$number:$OPERATOR
    done
    start "worker-$1" $STANDINS/platform-standin-worker --id "worker-$1" \
        --address "$NETWORK.3.$1:$WORKER" --zone "$(zone_of "$1")" --control "$controls" --log_runs
}

# signal NAME SIGNAL: to a process that this script has started.
signal() {
    record "process $1 gets $2"
    kill "-$2" "${PID[$1]}"
}

# await_end NAME: waits for the end of a process that was told to stop.
await_end() {
    wait "${PID[$1]}" 2>/dev/null
    record "process $1 has ended with $?"
    unset "PID[$1]"
}

clean_up() {
    local name
    for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null; done
    wait 2>/dev/null
    if [ -n "${KEEP_LOGS:-}" ]; then
        echo "logs are in $DIR"
    else
        rm -rf "$DIR"
    fi
}

# request NAME METHOD IP PORT HOST PATH BODY SECONDS [HEADER]: sends a request on a new connection,
# records it and its answer under NAME, and prints "STATUS BODY"; STATUS is 000 without an answer.
request() (
    name=$1 method=$2 ip=$3 port=$4 host=$5 path=$6 body=$7 seconds=$8 header=${9:-}
    record "$name sent to $ip:$port: $method $path"
    { exec {connection}<>"/dev/tcp/$ip/$port"; } 2>/dev/null || {
        record "$name no connection"
        echo 000
        exit
    }
    exchange "$connection" "$name" "$method" "$host" "$path" "$body" "$seconds" "$header"
)

# exchange DESCRIPTOR NAME METHOD HOST PATH BODY SECONDS [HEADER]: the same on an open connection.
exchange() {
    local connection=$1 name=$2 method=$3 host=$4 path=$5 body=$6 seconds=$7 header=${8:-}
    local line status='' length=0 answer=''
    local -r end=$(($(now) + seconds * 1000))
    printf '%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %s\r\n%s\r\n%s' \
        "$method" "$path" "$host" "${#body}" "${header:+$header$'\r\n'}" "$body" >&"$connection" 2>/dev/null
    while IFS= read -r -t "$(seconds_until "$end")" -u "$connection" line; do
        line=${line%$'\r'}
        case $line in
        HTTP/1.1\ *) [ -n "$status" ] || status=${line:9:3} ;;
        [Cc]ontent-[Ll]ength:*) length=${line##*: } ;;
        '') break ;;
        esac
    done
    if [ -n "$status" ] && [ "$length" -gt 0 ]; then
        IFS= read -r -t "$(seconds_until "$end")" -N "$length" -u "$connection" answer || status=
    fi
    if [ -z "$status" ]; then
        if [ "$(now)" -lt "$end" ]; then
            record "$name the connection has ended without a complete answer"
        else
            record "$name no answer within $seconds s"
        fi
        echo 000
        return
    fi
    record "$name answered: $status $answer"
    echo "$status $answer"
}

seconds_until() {
    local left=$(($1 - $(now)))
    [ "$left" -gt 10 ] || left=10
    echo "$((left / 1000)).$(printf %03d $((left % 1000)))"
}

# put_config VERSION TIMEOUT_MS [IDLE_TIMEOUT_MS]: sends a configuration with the route
# stall.example/restock/ until it is acknowledged, as the operator does.
put_config() {
    local body tries=0
    body='{"version":'$1',"routes":[{"name":"r-1","host":"stall.example","path_prefix":"/restock/","kind":"unsafe","timeout_ms":'$2',"target_latency_ms":60,"priority":0,"service":"restock","retry_attempts":4,"stretch":1.6}],"services":[{"name":"restock","health_path":"/health","max_connections":64,"protocol":"h1","tls":false,"enforces_capacity":false,"spare":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,"idle_timeout_ms":'${3:-15000}'}}'
    until [[ $(request "configuration-$1" POST "$NETWORK.1.$((tries % CONTROL_COUNT + 1))" $OPERATOR control \
        /api/configuration/put "$body" 1) == 200* ]]; do
        tries=$((tries + 1))
        [ $tries -lt 60 ] || give_up "configuration $1 is not acknowledged"
        sleep 0.3
    done
}

# job TASKS WORK_MS [ESTIMATED_MS]: the body of a job. The stand-in worker reads the run time of a task from the
# specification.
job() {
    echo '{"specification":"'"$2"' ms","best_effort":true,"steps":[{"count":'"$1"',"cpu":27000,"requested_memory_mb":64,"estimated_ms":'"${3:-$2}"'}]}'
}

# chain_job STEPS WORK_MS: the body of a job of STEPS steps, each of two tasks that follow the step before.
chain_job() {
    local steps='' number
    for number in $(seq 0 $(($1 - 1))); do
        steps+=${steps:+,}'{"count":2,"cpu":27000,"requested_memory_mb":64,"estimated_ms":'$2
        [ "$number" = 0 ] || steps+=',"after":['$((number - 1))']'
        steps+='}'
    done
    echo '{"specification":"'"$2"' ms","best_effort":true,"steps":['"$steps"']}'
}

# submit NAME ENTRY ID BODY DEADLINE_MS: submits a job and prints the answer.
submit() {
    request "$1" POST "$NETWORK.2.$2" $FRONTEND stall.example "/restock/$3" "$4" \
        $(($5 / 1000 + 2)) "X-Deadline-Milliseconds: $5"
}

# cancel NAME ENTRY ID: cancels a job and prints the answer.
cancel() { request "$1" DELETE "$NETWORK.2.$2" $FRONTEND stall.example "/restock/$3" '' 4; }

new_id() { od -An -N8 -tx1 /dev/urandom | tr -d ' \n'; }

# wait_for_service ENTRY...: waits until a job of two tasks is served through each of them.
wait_for_service() {
    local entry tries
    for entry in "$@"; do
        tries=0
        until [[ $(submit "warm-up-$entry" "$entry" "$(new_id)" "$(job 2 100)" 1500) == 200*completed* ]]; do
            tries=$((tries + 1))
            [ $tries -lt 40 ] || give_up "entry $entry serves nothing"
            sleep 0.3
        done
    done
}

# start_deployment [TIMEOUT_MS]: starts all processes and sets configuration 1.
start_deployment() {
    local number
    for number in $(seq "$CONTROL_COUNT"); do
        mkdir "$DIR/data-$number"
        write_settings "control-$number" "$(zone_of "$number")" "$NETWORK.1.$number" 0.5 \
            "\"may_found\": true, \"operator_address\": \"$NETWORK.1.$number:$OPERATOR\", \"data_folder\": \"$DIR/data-$number\", \"memory_mb\": 256"
        start_control "$number"
    done
    for number in $(seq "$ENTRY_COUNT"); do
        write_settings "entry-$number" "$(zone_of "$number")" "$NETWORK.2.$number" "${ENTRY_SHARES[$((number - 1))]}" \
            "\"caller_address\": \"$NETWORK.2.$number:$FRONTEND\", \"readiness_address\": \"$NETWORK.2.$number:$READY\", \"longest_lease_ms\": 1000, \"stop_time_ms\": 50, \"resubmission_delay_ms\": 1300, \"memory_mb\": 260"
        start_entry "$number"
    done
    for number in $(seq "$WORKER_COUNT"); do start_worker "$number"; done
    put_config 1 "${1:-1500}"
    # shellcheck disable=SC2046
    wait_for_service $(seq "$ENTRY_COUNT")
}

# runs_of ID: the starts and ends of the tasks of a job, as the workers have logged them:
# "start TASK RUN TIME WORKER" and "end TASK RUN OUTCOME TIME WORKER".
runs_of() {
    local number
    for number in $(seq "$WORKER_COUNT"); do
        sed -n "s/^\(\(start\|end\) $1\..*\)/\1 worker-$number/p" "$DIR/worker-$number.log"
    done
}

# starts_after ID TIME: prints the starts of tasks of the job after TIME.
starts_after() {
    runs_of "$1" | while read -r what task run time worker; do
        [ "$what" = start ] && [ "$time" -gt "$2" ] && echo "$what $task $run $time $worker"
    done
}

# running_at ID TIME: prints the runs of the job that were running at TIME.
running_at() {
    local starts ends
    starts=$(runs_of "$1" | grep '^start')
    ends=$(runs_of "$1" | grep '^end')
    while read -r _ task run time worker; do
        [ -n "$task" ] && [ "$time" -le "$2" ] || continue
        local ended
        ended=$(awk -v task="$task" -v run="$run" -v worker="$worker" \
            '$2 == task && $3 == run && $6 == worker { print $5 }' <<<"$ends")
        [ -n "$ended" ] && [ "$ended" -le "$2" ] || echo "$task run $run on $worker from $time to ${ended:-now}"
    done <<<"$starts"
}

# record_runs ID...: adds what the workers ran to the record.
record_runs() {
    local id
    for id in "$@"; do
        runs_of "$id" | while read -r line; do echo "        run: $line" >>"$RECORD"; done
    done
}

run_case() {
    for program in $PROGRAMS/hawthornstall-platform-{entry,control} $STANDINS/platform-standin-worker; do
        [ -x "$program" ] || {
            echo "$program is missing" >&2
            exit 2
        }
    done
    DIR=$(mktemp -d)
    trap clean_up EXIT
    : >"$RECORD"
    record "TROUBLE=$TROUBLE on $(uname -m)"
    "$1"
    local result=$?
    if [ $result = 0 ]; then
        record "the rule held"
    else
        record "the rule was broken"
    fi
    tail -n 1 "$RECORD"
    exit $result
}
