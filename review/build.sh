#!/usr/bin/env bash
# Prepares the stand-ins of the cases. They are Python programs of this folder and need no compiler: this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - lib/*.py [0-9]*/run.py <<'CHECK'
import ast
import sys

for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as source:
        ast.parse(source.read(), path)
    print(f"ok {path}")
CHECK
