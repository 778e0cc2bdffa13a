#!/usr/bin/env bash
# Builds what the cases start beside the program of the deploy file. The stand-ins are Python without any package,
# so there is nothing to build: this checks that the machine can read them.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import ast, pathlib, sys
assert sys.version_info >= (3, 11), "the stand-ins need Python 3.11"
for path in sorted(pathlib.Path(".").rglob("*.py")):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
PY
