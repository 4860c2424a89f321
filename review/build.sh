#!/bin/sh
# Compiles the stand-ins of the scripts to check them; they are run from their source by Python 3, without packages.
set -e
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 - <<'END'
import glob
for path in glob.glob("standins/*.py") + glob.glob("*/case.py"):
    compile(open(path).read(), path, "exec")
END
