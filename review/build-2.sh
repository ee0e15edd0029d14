#!/bin/sh
# Makes what the cases 6 to 10 start beside the deploy file's build: .venv-ci, with the project and its extras (agent,
# stores of record). The stand-ins are Python and run from the tree; they are compiled here to see that they are whole.
set -eu
cd "$(dirname "$0")/.."
PYTHON=${PYTHON:-python3}
if ! .venv-ci/bin/python -c 'import apsw, click, graphql, httpx, ironscale, psycopg, starlette, uvicorn' 2>/dev/null; then
    make .venv-ci/ready PYTHON="$PYTHON"
fi
.venv-ci/bin/python - <<'END'
import pathlib

for path in [pathlib.Path("review/case_support.py"), *pathlib.Path("review").glob("*/case.py"),
             *pathlib.Path("ironscale/standins").glob("*.py")]:
    compile(path.read_text(), str(path), "exec")
END
