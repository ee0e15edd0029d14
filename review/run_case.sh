#!/bin/sh
# Runs the case in the folder $1 for 120 s at most: 0 = the rule held, 1 = it was broken, 2 = the case couldn't run.
# At the time limit the case gets SIGTERM and ends all that it has started.
cd "$1" || exit 2
python=../../.venv/bin/python
test -x "$python" || { echo "the build of the deploy file has not run"; exit 2; }
timeout -k 5 110 "$python" -B case.py
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
