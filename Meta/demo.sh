#!/usr/bin/env bash
# Runs a deployment of customer Steppe's size for about a minute and checks the workers' journals.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN=$1
WORK=$(mktemp -d)
. Meta/deployment.sh
finish() {
    stop_all
    rm -rf "$WORK"
}
trap finish EXIT

say() { printf '\n== %s\n' "$*"; }

# submit TEAM NAME KIND TASKS CPU_MILLIS RUN_MS: submits a job whose tasks each run for RUN_MS
submit() {
    jq -n --arg id "$2" --arg kind "$3" --argjson tasks "$4" --argjson cpu "$5" --argjson run "$6" \
        '{id: $id, kind: $kind, tasks: $tasks, per_task: {cpu_millis: $cpu, memory_mb: ($cpu * 2)},
          payload: ({run_ms: $run} | tojson)}' >"$WORK/$2.json"
    cm -k "$1-key" -o json job submit "$WORK/$2.json" >/dev/null
    echo "submitted $2: $3 of $4 tasks for team $1"
}

# serve_lookups CALLER: sends lookups until the file stop exists; writes one line per response
serve_lookups() {
    local caller=$1 number=0 entry
    while [[ ! -e "$WORK/stop" ]]; do
        entry=${ENTRIES[$(((caller + number) % ${#ENTRIES[@]}))]}
        curl -s -o /dev/null -w '%{http_code} %{time_total}\n' -H 'X-Idempotent: true' \
            -d "{\"id\":\"c$caller-$number\",\"work_ms\":2}" "$entry/lookup/arrivals"
        number=$((number + 1))
        sleep 0.02
    done >"$WORK/lookups-$caller"
}

done_tasks() {
    cm -o json job list | jq --arg id "$1" '[.jobs[] | select(.id == $id) | .counts.done // 0] | add // 0'
}
is_done() { [[ $(done_tasks "$1") -eq $2 ]]; }
running_in() {
    cm -o json status | jq --arg zone "$1" '[.entries[].shards[] | select(.zone == $zone) | .running] | add // 0'
}
is_empty() { [[ $(running_in "$1") -eq 0 ]]; }

say "Steppe: 3 availability zones, 9 entry instances, 50 workers"
start_deployment 8 16000 64000 kz-a=17:3 kz-b=17:3 kz-c=16:3
wait_for 30 all_shards_active 3
intend apply Examples/steppe/declaration.toml
for team in forecast backfill ministry; do intend issue-key "$team" "$team-key" >/dev/null; done
wait_for 20 curl -sf -d '{}' "${ENTRIES[0]}/lookup/arrivals"
cm status

say "work: a forecast rebuild, a backfill and a gang, with lookup requests all the while"
callers=()
for caller in 0 1 2 3; do
    serve_lookups "$caller" &
    callers+=($!)
done
submit forecast rebuild batch 300 2000 2000
submit backfill backfill batch 120 4000 3000
submit ministry briefing gang 24 4000 4000
sleep 4
cm status

say "a holiday is confirmed: zone kz-a is taken out"
intend drain-zone kz-a
out_at=$(date +%s%3N)
wait_for 20 is_empty kz-a
echo "kz-a is empty after $(($(date +%s%3N) - out_at)) ms"
sleep 4
cm status

say "the zone comes back"
intend return-zone kz-a
wait_for 120 is_done rebuild 300
wait_for 120 is_done backfill 120
wait_for 120 is_done briefing 24
touch "$WORK/stop"
wait "${callers[@]}"
cm status

say "what the workers themselves recorded"
for url in "${WORKER_URLS[@]}"; do curl -sf "$url/admin/journal"; done | jq -s '
    {journal: (map(.journal) | add | sort_by(.at)), violations: (map(.violations) | add)}' >"$WORK/record"
jq -r '.journal | group_by(.job)[] | . as $lines | [$lines[] | select(.event == "started")] as $starts
    | "\($lines[0].job): \([$lines[] | select(.event == "done")] | length) done, \($starts | length) starts, \([$lines[] | select(.event == "stopped")] | length) checkpointed and moved; starts by zone \($starts | group_by(.zone) | map("\(.[0].zone) \(length)") | join(", "))"' "$WORK/record"
sort -k2 -n "$WORK"/lookups-* >"$WORK/lookups"
answered=$(grep -c '^200 ' "$WORK/lookups" || true)
asked=$(wc -l <"$WORK/lookups")
median=$(awk -v n="$asked" 'NR == int((n + 1) / 2) { print $2 * 1000 }' "$WORK/lookups")
high=$(awk -v n="$asked" 'NR == int(n * 0.99) { print $2 * 1000 }' "$WORK/lookups")
echo "lookup requests: $asked sent, $answered answered; median $median ms, 99th percentile $high ms (2 ms of it the target's work)"

lost=0
for job in rebuild:300 backfill:120 briefing:24; do
    count=$(jq --arg job "${job%:*}" '[.journal[] | select(.event == "done" and .job == $job) | .index] | unique | length' "$WORK/record")
    lost=$((lost + ${job#*:} - count))
done
doubled=$(jq '[.journal[] | select(.event == "done")] | group_by([.job, .index]) | map(select(length > 1)) | length' "$WORK/record")
violations=$(jq '.violations | length' "$WORK/record")
echo "tasks lost: $lost, tasks run twice: $doubled, capacity or slots exceeded: $violations, lookups not answered: $((asked - answered))"
stop_all
echo "entry processes that did not end well:${CRASHED:- none}"
[[ -z "$CRASHED" ]]
((lost == 0 && doubled == 0 && violations == 0 && asked == answered && asked > 100))
echo "demo: all counts are right"
