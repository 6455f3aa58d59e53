#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
export PYTHONPATH=target/deps:. TROUBLE="${TROUBLE:-1}"
python3 -c 'import review.support' || exit 2
exec python3 -m review.1.case
