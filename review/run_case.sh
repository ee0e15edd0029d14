#!/bin/sh
# Runs the case in the folder $1 for 120 s at most: 0 = the rule held, 1 = it was broken, 2 = the case couldn't run.
# At the time limit, or as this script gets SIGTERM, the case gets SIGTERM, ends all that it has started and exits with 2.
cd "$1" || exit 2
python=../../.venv/bin/python
test -x "$python" || { echo "the build of the deploy file has not run"; exit 2; }
exec timeout --preserve-status -k 10 105 "$python" -B case.py
