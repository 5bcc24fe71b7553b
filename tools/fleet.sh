# Sourced by tools/bench, tools/demo and tools/process-tests: starts and stops stand-ins and nodes on loopback.
# Each started process is ended by its process ID when the script exits.
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin_platform=$root/build/standins/standin_platform
bin_upstreams=$root/build/standins/standin_upstreams
bin_daemon=${POLLENGRADED:-$root/build/packages/daemon/pollengraded}
bin_ctl=$root/build/packages/ctl/pollengradectl
bin_load=$root/build/bench/bench_load
platform=127.0.0.1:7000
work=$(mktemp -d)
started=()
nodes=()

# Ends one process and waits for it.
end_process() {
    kill -CONT "$1" 2>/dev/null
    kill -KILL "$1" 2>/dev/null
    wait "$1" 2>/dev/null
}

end_fleet() {
    local pid
    for pid in "${started[@]:-}"; do
        [ -n "$pid" ] && end_process "$pid"
    done
    started=()
    nodes=()
}

trap 'end_fleet; rm -rf "$work"' EXIT

# wait_for SECONDS COMMAND...: waits until the command succeeds, at most for the given time.
wait_for() {
    local tries=$(($1 * 20))
    shift
    until "$@" >/dev/null 2>&1; do
        tries=$((tries - 1))
        [ "$tries" -le 0 ] && return 1
        sleep 0.05
    done
}

start_platform() {
    "$bin_platform" --listen "$platform" >>"$work/platform.log" 2>&1 &
    platform_pid=$!
    started+=("$platform_pid")
    wait_for 10 curl -sf "http://$platform/api/objects/servers"
}

# start_upstreams NAME CONTROL_PORT FLAGS...
start_upstreams() {
    local service=$1 control=$2
    shift 2
    "$bin_upstreams" --service "$service" --control "127.0.0.1:$control" "$@" >>"$work/upstreams-$service.log" 2>&1 &
    upstreams_pid=$!
    started+=("$upstreams_pid")
    wait_for 20 curl -sf "http://127.0.0.1:$control/"
}

# start_node NUMBER: starts a node with callers at 8000+N, operators at 8200+N, peers at 8400+N.
start_node() {
    local n=$1 seeds=
    [ "$n" -gt 1 ] && seeds=127.0.0.1:8401
    [ "$n" -gt 2 ] && seeds=$seeds,127.0.0.1:8402
    cat >"$work/node-$n.ini" <<EOF
[node]
name = node-$n
callers = 127.0.0.1:$((8000 + n))
operators = 127.0.0.1:$((8200 + n))
peers = 127.0.0.1:$((8400 + n))
failure_domain = domain-$((n % 3))
[platform]
address = $platform
[cluster]
seeds = $seeds
EOF
    "$bin_daemon" --settings "$work/node-$n.ini" >>"$work/node-$n.log" 2>&1 &
    node_pid=$!
    started+=("$node_pid")
    nodes[n]=$node_pid
    wait_for 10 curl -sf "http://127.0.0.1:$((8200 + n))/healthz"
}

ready() { curl -sf "http://127.0.0.1:$((8000 + $1))/readyz"; }

# ctl ARGUMENTS...: runs the client with the addresses of all started nodes.
ctl() {
    local flags=() n
    for n in "${!nodes[@]}"; do
        flags+=(--node "127.0.0.1:$((8200 + n))")
    done
    "$bin_ctl" --platform "$platform" "${flags[@]}" "$@"
}

# configure SERVICE FLAGS...: applies the document $work/SERVICE.ini and the shard maps of the flags.
configure() {
    local service=$1
    shift
    "$bin_upstreams" --service "$service" "$@" >"$work/$service.json"
    ctl apply "$work/$service.ini" && ctl apply-shard-maps "$service" "$work/$service.json"
}

# create_object KIND NAME FILE: stores a text in the platform's store unchanged.
create_object() {
    python3 -c 'import json,sys; print(json.dumps({"meta": {"name": sys.argv[1]}, "spec": {"text": open(sys.argv[2]).read()}}))' \
        "$2" "$3" | curl -s -X POST --data-binary @- "http://$platform/api/objects/$1" >/dev/null
}

# metric NODE NAME: prints the value of a counter, 0 if the node does not report it.
metric() {
    curl -s "http://127.0.0.1:$((8200 + $1))/metrics" | awk -v name="pollengrade_$2" '$1 == name {n = $2} END {print n + 0}'
}
