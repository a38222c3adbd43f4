#!/bin/sh
# Builds what the scripts of review/11 and review/12 start beside the programs:
# the harness and the project's own stand-ins, compiled below target/.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-3
mkdir -p target/review-3
cp -r tools target/review-3/
cp review/lib-3/*.py target/review-3/
python3 -m compileall -q target/review-3
python3 -W ignore - <<'EOF'
import sys

sys.path[:0] = ["target/review-3", "target/deps"]
import harness
EOF
