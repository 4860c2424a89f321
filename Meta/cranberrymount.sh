#!/usr/bin/env bash
# Installs packages, builds and runs one of: demo | test | soak | check | guards | fuzz | bench | lint | build
set -euo pipefail
cd "$(dirname "$0")/.."
BUILD=${BUILD:-Build}

build() {
    Meta/install.sh
    cmake -S . -B "$BUILD" -G Ninja -DCMAKE_CXX_COMPILER_LAUNCHER=ccache >/dev/null
    cmake --build "$BUILD" -- "$@"
}

case "${1:-}" in
build)
    build
    ;;
demo)
    build
    exec bash Meta/demo.sh "$PWD/$BUILD"
    ;;
test)
    build
    exec bash Meta/test.sh "$PWD/$BUILD"
    ;;
soak)
    build --quiet cranberrymount-cell
    exec python3 Tests/Soak/soak.py --program "$PWD/$BUILD/cranberrymount-cell" "${@:2}"
    ;;
check)
    Meta/install.sh
    exec bash Meta/check.sh
    ;;
guards)
    Meta/install.sh
    exec bash Meta/guards.sh "${@:2}"
    ;;
fuzz)
    Meta/install.sh
    exec bash Meta/fuzz.sh "${@:2}"
    ;;
bench)
    build
    exec "$BUILD/bench" "${@:2}"
    ;;
lint)
    build
    exec bash Meta/lint.sh "$BUILD"
    ;;
*)
    echo "usage: Meta/cranberrymount.sh demo|test|soak|check|guards|fuzz|bench|lint|build" >&2
    exit 2
    ;;
esac
