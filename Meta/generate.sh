#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code.
set -euo pipefail
cd "$(dirname "$0")/.."
for schema in Peer Cell Journal; do
    flatc --cpp --scoped-enums -o Libraries/Protocol/Generated "Libraries/Protocol/$schema.fbs"
done
