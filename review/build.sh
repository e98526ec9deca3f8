#!/bin/sh
# Makes all that the scripts of the cases start, from a clean checkout, after
# the build of deploy/system.toml. The stand-ins are Python modules of this
# repository and need no packages beside those in target/deps.
set -eu
cd "$(dirname "$0")/.."
PYTHONPATH="target/deps:." python3 -c "
import tests.fakes.store, tests.fakes.replica, tests.stage
import egretspur.daemons.host
"
