# Sourced by demo.sh, hop.sh and slopes.sh: starts the stand-ins and one process per entry instance.
#
# Needs BIN (folder of the programs) and WORK (temporary folder); sets ENTRIES and WORKER_URLS (URLs
# of the entries and of the worker stand-ins) and PIDS (process ids by name).

OPERATOR_KEY=demo-operator-key
BASE_PORT=${BASE_PORT:-21000}
PLATFORM_PORT=$BASE_PORT
PLATFORM_URL=http://127.0.0.1:$PLATFORM_PORT
declare -A PIDS
ENTRIES=()
WORKER_URLS=()

# start NAME PROGRAM ARGS... : starts a process in the background, with its output in NAME.log
start() {
    local name=$1
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PIDS[$name]=$!
}

# Stops all processes, entries first; sets CRASHED to the entries with a nonzero exit status.
stop_all() {
    local name status
    CRASHED=''
    for name in "${!PIDS[@]}"; do
        [[ $name == platform || $name == workers-* ]] || kill -TERM "${PIDS[$name]}" 2>/dev/null || true
    done
    for name in "${!PIDS[@]}"; do
        [[ $name == platform || $name == workers-* ]] && continue
        status=0
        wait "${PIDS[$name]}" 2>/dev/null || status=$?
        ((status == 0)) || CRASHED+=" $name:$status"
    done
    for name in "${!PIDS[@]}"; do
        kill -TERM "${PIDS[$name]}" 2>/dev/null || true
    done
    for name in "${!PIDS[@]}"; do
        wait "${PIDS[$name]}" 2>/dev/null || true
    done
    PIDS=()
}

# wait_for SECONDS COMMAND... : waits until the command succeeds; fails after SECONDS
wait_for() {
    local limit=$((SECONDS + $1))
    shift
    until "$@" >/dev/null 2>&1; do
        if ((SECONDS >= limit)); then
            echo "timed out waiting for: $*" >&2
            return 1
        fi
        sleep 0.1
    done
}

# write_fleet ZONE COUNT PER_RACK CPU_MILLIS MEMORY_MB PORT: writes the list of a zone's workers
write_fleet() {
    local zone=$1 count=$2 per_rack=$3 cpu=$4 memory=$5 port=$6 i
    {
        echo '['
        for ((i = 0; i < count; ++i)); do
            ((i > 0)) && echo ','
            printf '{"id":"%s-w%02d","zone":"%s","rack":"%s-r%d","slots":8,"connections":64,' \
                "$zone" "$i" "$zone" "$zone" $((i / per_rack))
            printf '"capacity":{"cpu_millis":%d,"memory_mb":%d,"accelerators":0},' "$cpu" "$memory"
            printf '"url":"http://127.0.0.1:%d/%s-w%02d"}' "$port" "$zone" "$i"
        done
        echo ']'
    } >"$WORK/fleet-$zone.json"
}

# write_settings ENTRY ZONE HTTP_PORT PEER_PORT PEERS_JSON: writes the settings file of an entry
write_settings() {
    cat >"$WORK/$1.toml" <<EOF
[entry]
id = "$1"
zone = "$2"
http = "127.0.0.1:$3"
peer = "127.0.0.1:$4"
peers = $5
operator_key_sha256 = "$(printf %s "$OPERATOR_KEY" | sha256sum | cut -d' ' -f1)"

[platform]
store = "$PLATFORM_URL"
instances = "$PLATFORM_URL/instances"
EOF
}

# start_deployment PER_RACK CPU_MILLIS MEMORY_MB ZONE=WORKERS:ENTRIES... : starts the platform, the
# workers and the entries, and waits until each entry answers
start_deployment() {
    local per_rack=$1 cpu=$2 memory=$3
    shift 3
    start platform "$BIN/standin-platform" --port "$PLATFORM_PORT"
    wait_for 10 curl -sf "$PLATFORM_URL/admin/counters"
    local port=$((BASE_PORT + 1)) part zone workers entries i peers='' names=()
    for part in "$@"; do
        zone=${part%%=*}
        workers=${part#*=}
        entries=${workers#*:}
        workers=${workers%:*}
        write_fleet "$zone" "$workers" "$per_rack" "$cpu" "$memory" "$port"
        start "workers-$zone" "$BIN/standin-worker" --port "$port" --fleet "$WORK/fleet-$zone.json"
        WORKER_URLS+=("http://127.0.0.1:$port")
        port=$((port + 1))
        wait_for 10 curl -sf "${WORKER_URLS[-1]}/admin/journal"
        jq -c '{add: .}' "$WORK/fleet-$zone.json" |
            curl -sf -d @- "$PLATFORM_URL/admin/instances" >/dev/null
        for ((i = 0; i < entries; ++i)); do
            names+=("$zone-e$i $zone $port $((port + 1))")
            peers+="${peers:+, }\"127.0.0.1:$((port + 1))\""
            port=$((port + 2))
        done
    done
    local name zone_of http peer line
    for line in "${names[@]}"; do
        read -r name zone_of http peer <<<"$line"
        write_settings "$name" "$zone_of" "$http" "$peer" "[$peers]"
        start "$name" "$BIN/cranberrymountd" "$WORK/$name.toml"
        ENTRIES+=("http://127.0.0.1:$http")
    done
    for line in "${ENTRIES[@]}"; do
        wait_for 10 curl -sf "$line/healthz"
    done
}

cm() {
    CRANBERRYMOUNT_OPERATOR_KEY=$OPERATOR_KEY "$BIN/cranberrymount" --entry "${ENTRY:-${ENTRIES[0]}}" "$@"
}

# intend WORDS... : makes a plan, shows it and confirms it
intend() {
    local plan
    plan=$(cm -o json intent "$@") || return 1
    echo "plan $(jq -r .id <<<"$plan"): $(jq -r '.changes | join("; ")' <<<"$plan")"
    jq -c 'select(.forecast) | .forecast' <<<"$plan"
    cm -o json confirm "$(jq -r .id <<<"$plan")" >/dev/null
}

all_shards_active() {
    local count
    count=$(cm -o json status | jq '[.entries[].shards[] | select(.active)] | length')
    [[ $count -eq $1 ]]
}
