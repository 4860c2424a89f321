#!/usr/bin/env bash
# Fails if the formatter or the linter reports anything.
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=$1
mapfile -t files < <(git ls-files -- '*.h' '*.cpp' | grep -v '/Generated/')
clang-format --dry-run --Werror "${files[@]}"
printf '%s\n' "${files[@]}" | grep '\.cpp$' | xargs -P "$(nproc)" -n 1 clang-tidy --quiet -p "$BUILD" 2>/dev/null
echo "format and lint clean: ${#files[@]} files"
