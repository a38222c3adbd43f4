#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
exec env PYTHONPATH="target/deps" python3 review/2/case.py
