#!/bin/sh
# Prepares the stand-ins. They are Python with the standard library alone, so this only checks that they compile.
set -eu
cd "$(dirname "$0")"
../.venv/bin/python -B - <<'PYTHON'
import pathlib
for path in sorted(pathlib.Path().glob("**/*.py")):
    compile(path.read_bytes(), str(path), "exec")
PYTHON
