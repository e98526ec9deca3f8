#!/bin/sh
# Prepares the scripts of the second review. Their stand-ins are Python: they
# need the packages in target/deps, which the build of the deploy file makes, and
# nothing else. Fails if one of them does not import.
set -e
cd "$(dirname "$0")/.."
[ -d target/deps ] || python3 -m pip install -q -U --target target/deps \
    -r deploy/requirements.txt
PYTHONPATH=target/deps:. python3 -c \
    "import egretspur.daemons.host, tests.fakes.store"
PYTHONPATH=review python3 -c "import rig_2"
