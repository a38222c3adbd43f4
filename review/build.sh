#!/bin/sh
# Prepares the stand-ins of the review's scripts. They are the project's own and
# need only the libraries that the build of the deploy file has installed.
cd "$(dirname "$0")/.." || exit 2
[ -d target/deps ] || { echo "build the deploy file first"; exit 2; }
PYTHONPATH="target/deps:." python3 -m compileall -q tools/standins review/lib &&
    PYTHONPATH="target/deps:." python3 -c \
        "import tools.standins.platform_store, tools.standins.platform_target" 2>/dev/null
