#!/usr/bin/env bash
# Checks what the scripts of the cases 6 to 10 need beside the build of the deploy file. Their stand-ins are Python programs, so there is nothing to compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 9))'
PYTHONDONTWRITEBYTECODE=1 python3 - <<'PYTHON'
import ast
import pathlib

for script in sorted(pathlib.Path(".").glob("lib-2/*.py")) + [path for n in range(6, 11) for path in sorted(pathlib.Path(".").glob(f"{n}/*.py"))]:
    ast.parse(script.read_text(), str(script))
PYTHON
