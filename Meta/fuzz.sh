#!/usr/bin/env bash
# Builds the fuzz targets with Clang and runs each of them for SECONDS (60) from the sample inputs
# and from those in the folder CORPUS, which keeps what it finds.
set -euo pipefail
cd "$(dirname "$0")/.."
SECONDS_EACH=${1:-60}
BUILD=${FUZZ_BUILD:-Build-fuzz}
CORPUS=${CORPUS:-$BUILD/corpus}
cmake -S . -B "$BUILD" -G Ninja -DCRANBERRYMOUNT_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ \
    -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
cmake --build "$BUILD"
"$BUILD/Tests/Fuzz/fuzz-seeds" "$BUILD/seeds"
for target in journal peer; do
    mkdir -p "$CORPUS/$target"
    "$BUILD/Tests/Fuzz/fuzz-$target" -max_total_time="$SECONDS_EACH" -timeout=10 -rss_limit_mb=1024 \
        -print_final_stats=1 -artifact_prefix="$CORPUS/$target-" "$CORPUS/$target" "$BUILD/seeds/$target"
done
