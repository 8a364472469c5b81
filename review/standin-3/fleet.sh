# Starts a small deployment on loopback for the cases 11 to 15. Sourced by their
# run.sh with `set -u`; sets up `work`, a temporary folder, and ends all
# processes that it started when the script exits.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)
program=$root/target/acaciastile
standin=$root/target/review-3/standin-3
trouble=${TROUBLE:-1}
host=jobs.example
key=key-of-tenant-1
[ -x "$program" ] && [ -x "$standin" ] || { echo "not built"; exit 2; }
work=$(mktemp -d)
declare -A executor_pid executor_port executor_kind executor_rack
declare -A edge_pid edge_front
store_pid=

# True for a process of this script that has not ended. The id of one that has
# may belong to another process.
is_running() {
    local running
    running=$(jobs -pr)
    [[ $'\n'$running$'\n' == *$'\n'$1$'\n'* ]]
}

end_all() {
    local pid
    for pid in $(jobs -pr); do kill -KILL "$pid" 2>/dev/null; done
    wait 2>/dev/null
}

finish() {
    end_all
    # Lines of all processes, by time.
    cat "$work"/*.log 2>/dev/null | grep -E '^[0-9]+ ' | sort -s -n -k1,1 \
        >"$case_folder/record.txt"
    rm -rf "$work"
}
trap finish EXIT

# Milliseconds since 1970.
now() { echo $(($(date +%s%N) / 1000000)); }
# Notes a line of the script's own in the record.
say() { echo "$(now) script $*" >>"$work/script.log"; }
# Ends the script because the case cannot run.
cannot() { say "cannot run: $*"; echo "cannot run: $*"; exit 2; }

mapfile -t free < <("$standin" ports 60)
next=0
port() { taken=${free[$next]}; next=$((next + 1)); }

start_store() {
    port; store=$taken
    "$standin" store "$store" >>"$work/store.log" 2>&1 &
    store_pid=$!
    sleep 0.3
}

# put_config VERSION ROUTES_JSON
put_config() {
    local config
    config="{\"version\":$1,\"routes\":$2,"
    config+='"services":[{"name":"svc1","healthPath":"/health","maxConns":64,'
    config+='"protocol":"h1","tls":false,"rejectsOverload":false,'
    config+='"standby":false}],"limits":{"maxHeaderBytes":16384,'
    config+='"maxBodyBytes":262144,"headerTimeoutMs":3000,'
    config+='"idleTimeoutMs":15000},"tenants":[{"name":"tenant1","apiKeys":["'
    config+="$key\"],\"priority\":1,\"weight\":25,"
    config+='"cap":{"cpu":0,"memMb":0,"gpu":0}}]}'
    "$standin" put "$store" keyed.op config "$config" || cannot "no store"
    say "config $config"
}

# route NAME PREFIX ATTEMPTS: a route as JSON.
route() {
    printf '{"name":"%s","host":"%s","pathPrefix":"%s",' "$1" "$host" "$2"
    printf '"routeType":"non_idempotent","timeoutMs":3000,'
    printf '"targetLatencyMs":1000,"priority":1,"service":"svc1",'
    printf '"attempts":%s,"stretch":2.2,"public":false}' "$3"
}

# start_executor NAME KIND RACK: starts one at its port, which it keeps, under
# an id that no earlier process has had.
lives=0
start_executor() {
    local name=$1 id
    if [ -z "${executor_port[$name]:-}" ]; then
        port; executor_port[$name]=$taken
        executor_kind[$name]=$2; executor_rack[$name]=$3
    fi
    lives=$((lives + 1))
    id=$(printf 'i-%08x' $((16#7f000000 + lives)))
    "$standin" executor "$id" "${executor_port[$name]}" "$store" svc1 zone-a \
        "${executor_kind[$name]}" "${executor_rack[$name]}" 16000 65536 6000 \
        >>"$work/executor-$name.log" 2>&1 &
    executor_pid[$name]=$!
    say "executor $name starts as $id"
}

kill_executor() {
    say "executor $1 is killed"
    is_running "${executor_pid[$1]}" || return
    kill -KILL "${executor_pid[$1]}"
    wait "${executor_pid[$1]}" 2>/dev/null
}

# start_edge NAME: settings in the form of DEPLOY.md.
start_edge() {
    local name=$1 front ready control peers
    port; front=$taken; port; ready=$taken
    port; control=$taken; port; peers=$taken
    edge_front[$name]=$front
    cat >"$work/$name.conf" <<SETTINGS
node=$name
role=entry
machineClass=edge
serves=edge
ip=127.0.0.1
zone=zone-a
region=region-a
zones.zone-a=region-a
listenAddrs.front=127.0.0.1:$front
listenAddrs.ready=127.0.0.1:$ready
listenAddrs.control=127.0.0.1:$control
internalPorts=$peers,$peers
seeds=
bootstrap=true
lossCounts=false
limits.cpuShare=0.25
limits.cores=1
limits.memoryMb=260
limits.maxFds=4100
limits.linkMbps=1000.0
limits.diskMb=0
discovery=platform
entry=vip
heartbeatMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,quota,platform,advice,upkeep,sharing
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.maxHoldMs=6000
bounds.stopTimeoutMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.checkpointS=0.5
bounds.restoreMs=600
orders=invoke
advice=
platform.address=127.0.0.1:$store
platform.form=log
platform.recordBytes=262144
platform.requestBytes=2097152
platform.keep_s=300
SETTINGS
    ACACIASTILE_SETTINGS=$work/$name.conf "$program" edge \
        >"$work/$name.out" 2>&1 &
    edge_pid[$name]=$!
    say "daemon $name starts"
}

# ask EDGE METHOD PATH [BODY]: one call of a client; sets `status` and `answer`.
ask() {
    local told
    say "client sends $1 $2 $3 ${4:-}"
    told=$("$standin" client "${edge_front[$1]}" "$2" "$3" "$host" "$key" 3000 "${4:-}")
    status=${told%% *}; answer=${told#* }
    say "client gets $status $answer"
}

# Waits until a daemon answers a count of waiting jobs.
await_daemons() {
    local name tries
    for name in "${!edge_front[@]}"; do
        for tries in $(seq 40); do
            ask "$name" GET /batch/
            [ "$status" = 200 ] && break
            sleep 0.25
        done
        [ "$status" = 200 ] || cannot "daemon $name does not answer"
    done
}
