#!/bin/sh
# The second effect of the fault (LIMIT); the exit codes are those of run.sh.
# TROUBLE=0 leaves out the disruption.
cd "$(dirname "$0")/../.." || exit 2
PYTHONPATH="$PWD:$PWD/target/deps" exec python3 review/6/limit.py
