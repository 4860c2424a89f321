#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --scoped-enums -o Libraries/Protocol/Generated Libraries/Protocol/Peer.fbs
