#!/usr/bin/env bash
# Checks that all models of the specification keep their invariants, and that removing any one guard
# makes the checker report an error.
set -euo pipefail
cd "$(dirname "$0")/.."
SCRATCH=$(mktemp -d)
trap 'rm -rf "$SCRATCH"' EXIT
CHECK_SECONDS=${CHECK_SECONDS:-100}

# explore MODEL: prints the model checker's output; fails if the model breaks an invariant
explore() {
    rumur --deadlock-detection off --output "$SCRATCH/model.c" "$1" >"$SCRATCH/rumur.log" 2>&1 &&
        cc -O2 -march=native -o "$SCRATCH/model" "$SCRATCH/model.c" -lpthread -latomic &&
        timeout "$CHECK_SECONDS" "$SCRATCH/model"
}

# without_guard MODEL N: prints the model with guard N removed
without_guard() {
    sed -E "/-- GUARD $2:/ { /end; -- GUARD/d; s/^( *)if .*then -- GUARD/\1if true then -- GUARD/; t; s/^( *)if .* -- GUARD/\1if true -- GUARD/; t; s/^.*\$//; }" "$1"
}

failed=0
for model in Specification/*.m; do
    name=$(basename "$model" .m)
    if explore "$model" >"$SCRATCH/out"; then
        states=$(grep -oE '[0-9]+ states, [0-9]+ rules' "$SCRATCH/out" | tail -1)
        echo "$name: all invariants hold, $states fired"
        grep -oE '^invariant "[^"]*"' "$model" | sed 's/^invariant /  /'
    else
        echo "$name: FAILED"
        grep -vE '^$|states explored in' "$SCRATCH/out" | tail -40
        failed=$((failed + 1))
    fi
    for guard in $(grep -oE 'GUARD [0-9]+' "$model" | grep -oE '[0-9]+' | sort -nu); do
        without_guard "$model" "$guard" >"$SCRATCH/$name-$guard.m"
        if explore "$SCRATCH/$name-$guard.m" >"$SCRATCH/out"; then
            echo "  without guard $guard: NOT FOUND OUT"
            failed=$((failed + 1))
        elif ! grep -q 'error(s) found' "$SCRATCH/out"; then
            echo "  without guard $guard: NOT CHECKED (does not compile or took too long)"
            tail -3 "$SCRATCH/rumur.log"
            failed=$((failed + 1))
        else
            broken=$(grep -oE 'invariant "[^"]*"' "$SCRATCH/out" | head -1)
            echo "  without guard $guard: found out (${broken:-invariant})"
        fi
    done
done
if ((failed > 0)); then
    echo "specification: $failed failed"
    exit 1
fi
echo "specification: all invariants hold and every variant is found out"
