#!/usr/bin/env bash
# Removes the guards that the code shares with the specification, one at a time in a temporary copy,
# and fails unless the tests with random histories fail for each removed guard.
set -euo pipefail
cd "$(dirname "$0")/.."
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
HISTORIES=${HISTORIES:-600}
# Regular expression that selects the guards to remove; all of them by default.
ONLY=${1:-.}

# guard of the specification @ file @ text of the code @ text without the guard
GUARDS='
Core 1@ShardController.cpp@m_isActive = m_pool.isResolved();@m_isActive = true;
Core 2@RecordWriter.cpp@if (!m_ownEpochs.contains(stored->epoch))@if (false)
Core 3@ShardController.cpp@task.phase == TaskPhase::Open && !active.contains(task.index))\n            indexes@task.phase == TaskPhase::Open)\n            indexes
Core 4, evidence@ShardController.cpp@!isZoneUnavailable() && m_context.isConfigurationFresh()@!isZoneUnavailable()
Core 4, zone@ShardController.cpp@!isZoneUnavailable() && m_context.isConfigurationFresh()@m_context.isConfigurationFresh()
Core 5@ShardController.cpp@if (recorded && !alive.expired())\n            m_pool.acknowledge@if (!alive.expired())\n            m_pool.acknowledge
Capacity 1@WorkerPool.cpp@available.free -= attempt.resources;@available.free -= attempt.isConfirmed ? attempt.resources : Resources();
Capacity 3@WorkerPool.cpp@++worker.subEpoch;\n    LeaseRequest@worker.subEpoch += 0;\n    LeaseRequest
Capacity 4@WorkerPool.cpp@attempt.resources = running.resources;@attempt.resources = Resources();
Escrow 1@ShardController.cpp@m_escrow.slice(id)};@team.limit};
Escrow 2@EscrowManager.cpp@const Resources granted = slices[m_shard];@const Resources granted = slices[m_shard]; slice.usable = granted;
Escrow 3@EscrowManager.cpp@slice.need.cappedAt(available);@slice.need;
Escrow 4@EscrowManager.cpp@slice.usable = slice.usable.cappedAt(granted);@;
Configuration 4@ConfigurationManager.cpp@if (configuration.revision <= m_configuration->revision)@if (false)
Configuration 1@VouchRegistry.cpp@if (isPromised || !m_registeredSince)@if (!m_registeredSince)
Configuration 2@VouchRegistry.cpp@return entry == m_self || m_acknowledged.contains(entry);@return true;
'

mkdir "$SCRATCH/tree"
git ls-files -z | tar --create --null --files-from - | tar --extract --directory "$SCRATCH/tree"
cmake -S "$SCRATCH/tree" -B "$SCRATCH/build" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
build() { cmake --build "$SCRATCH/build" --target unit-tests >"$SCRATCH/build.log" 2>&1; }
judge() { HISTORY_COUNT=$HISTORIES "$SCRATCH/build/unit-tests" '[history]' >"$SCRATCH/out" 2>/dev/null; }
build
if ! judge; then
    echo "the code fails with all its guards: $(grep -oE 'seed [0-9]+' "$SCRATCH/out" | head -1)"
    exit 1
fi

failed=0
while IFS='@' read -r guard file from to; do
    [[ -n $guard && $guard =~ $ONLY ]] || continue
    source="$SCRATCH/tree/Libraries/Coordination/$file"
    cp "$source" "$SCRATCH/kept"
    FROM=$from TO=$to perl -0pi -e '
        my ($from, $to) = map { s/\\n/\n/gr } @ENV{qw(FROM TO)};
        s/\Q$from\E/$to/ or die "guard not found\n"' "$source"
    if ! build; then
        echo "$guard: NOT CHECKED (does not compile)"
        tail -5 "$SCRATCH/build.log"
        failed=$((failed + 1))
    elif judge; then
        echo "$guard: NOT FOUND OUT by $HISTORIES histories"
        failed=$((failed + 1))
    else
        seed=$(grep -oE 'seed [0-9]+' "$SCRATCH/out" | head -1 || true)
        broken=$(grep -oE '(overcommitted|two places|above the limit|ordered after|start in|not settled)[^",]*|isSettled' "$SCRATCH/out" | head -1 || true)
        echo "$guard: found out (${seed:-crash}, ${broken:-see the test})"
    fi
    cp "$SCRATCH/kept" "$source"
done <<<"$GUARDS"
if ((failed > 0)); then
    echo "guards: $failed not found out"
    exit 1
fi
echo "guards: the histories find each of them out"
