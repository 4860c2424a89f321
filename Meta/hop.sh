#!/usr/bin/env bash
# Compares rate and latency of lookups through an entry instance with direct calls to a target,
# then prints the entries' counters, memory and processor time.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$1
WORK=$(mktemp -d)
BASE_PORT=${BASE_PORT:-22000}
. Meta/deployment.sh
trap 'stop_all; rm -rf "$WORK"' EXIT
start_deployment 8 16000 64000 kz-a=16:2
wait_for 30 all_shards_active 1
intend apply Examples/steppe/declaration.toml >/dev/null
wait_for 20 curl -sf -d '{}' "${ENTRIES[0]}/lookup/arrivals"
owner=$(cm -o json status | jq -r '.entries[] | select(.shards | length > 0) | .entry')
for index in 0 1; do
    [[ kz-a-e$index == "$owner" ]] && OWNER=${ENTRIES[$index]} || OTHER=${ENTRIES[$index]}
done
for at_once in 1 16; do
    echo "$at_once at once: direct, through the owner, through another entry and the owner"
    "$BIN/bench" --load "${WORKER_URLS[0]}/kz-a-w00/target/arrivals" --count 5000 --at-once $((at_once > 8 ? 8 : at_once))
    "$BIN/bench" --load "$OWNER/lookup/arrivals" --count 5000 --at-once "$at_once"
    "$BIN/bench" --load "$OTHER/lookup/arrivals" --count 5000 --at-once "$at_once"
done
cm -o json status | jq -c '.entries[] | {entry, store_calls, worker_calls, worker_body_bytes, peer_bytes_sent, peer_messages_sent}'
sleep 20
echo "20 s later, idle:"
cm -o json status | jq -c '.entries[] | {entry, store_calls, worker_calls, worker_body_bytes, peer_bytes_sent, peer_messages_sent}'
for index in 0 1; do
    awk -v name="kz-a-e$index" '/VmRSS/ {print name, "resident", $2, "kB"}' "/proc/${PIDS[kz-a-e$index]}/status"
    awk -v name="kz-a-e$index" '{print name, "cpu ticks", $14 + $15}' "/proc/${PIDS[kz-a-e$index]}/stat"
done
sleep 10
for index in 0 1; do
    awk -v name="kz-a-e$index" '{print name, "cpu ticks 10 s later", $14 + $15}' "/proc/${PIDS[kz-a-e$index]}/stat"
done
