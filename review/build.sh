#!/usr/bin/env bash
# Builds what the scripts start. The stand-ins are Python modules that need the
# packages of the deploy file's build and nothing else, so they are compiled
# and imported once, without a network.
set -eu
cd "$(dirname "$0")/.."
if [ ! -d target/deps ]; then
  echo "target/deps is missing: run the build of deploy/system.toml first" >&2
  exit 1
fi
python3 -m compileall -q standins review tools tests/builders_relay.py || true
PYTHONPATH=target/deps:. python3 -c '
import standins.kv_service, standins.site_server
import review.engine, review.support'
