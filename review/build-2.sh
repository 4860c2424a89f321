#!/usr/bin/env bash
# Checks the stand-ins and scripts of review/6 and up. They are in Python 3, without packages, so there is nothing to build.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - common-2/standins.py [6-9]/case.py <<'END'
import ast
import sys
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
END
