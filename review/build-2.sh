#!/bin/sh
# Builds what the scripts of cases 6 to 10 start beside the nodes: the project's
# stand-ins and those of review/support2.  The build of deploy/system.toml has
# to come first.  All of it is Python, so it is compiled and imported once.
set -e
cd "$(dirname "$0")/.."
export PYTHONPATH="$PWD:$PWD/target/deps"
python3 -m compileall -q standins tools tests review/support2
python3 -c "
import standins.kv_service
import standins.site_server
import review.support2.case
import review.support2.server
import review.support2.site
import review.support2.streams
import tests.builders_site
import tools.deployment
"
