#!/usr/bin/env bash
# Measures the control traffic, processor time and memory of the owner of an idle shard, with 8, 24
# and 72 workers.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$1
SECONDS_MEASURED=15
for workers in 8 24 72; do
    WORK=$(mktemp -d)
    BASE_PORT=$((23000 + workers * 10))
    . Meta/deployment.sh
    start_deployment 8 16000 64000 "kz-a=$workers:2"
    wait_for 30 all_shards_active 1
    intend apply Examples/steppe/declaration.toml >/dev/null
    sleep 4
    sample() {
        cm -o json status | jq -c '[.entries[] | select(.shards | length > 0)][0] | {entry, store_calls, worker_calls, worker_body_bytes, peer_bytes_sent, shards: [.shards[].record_bytes]}'
    }
    ticks() { awk '{print $14 + $15}' "/proc/${PIDS[$1]}/stat"; }
    first=$(sample)
    owner=$(jq -r .entry <<<"$first")
    before=$(ticks "$owner")
    sleep $SECONDS_MEASURED
    after=$(ticks "$owner")
    second=$(sample)
    rss=$(awk '/VmRSS/ {print $2}' "/proc/${PIDS[$owner]}/status")
    jq -nc --argjson a "$first" --argjson b "$second" --argjson s $SECONDS_MEASURED --argjson w "$workers" \
        --argjson cpu "$((after - before))" --argjson rss "$rss" \
        '{workers: $w, store_calls_per_s: (($b.store_calls - $a.store_calls) / $s),
          worker_calls_per_s: (($b.worker_calls - $a.worker_calls) / $s),
          worker_body_bytes_per_s: (($b.worker_body_bytes - $a.worker_body_bytes) / $s),
          peer_bytes_per_s: (($b.peer_bytes_sent - $a.peer_bytes_sent) / $s),
          cpu_percent: ($cpu / $s), resident_kb: $rss, record_bytes: $b.shards[0]}'
    stop_all
    rm -rf "$WORK"
done
