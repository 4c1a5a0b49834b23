#!/usr/bin/env bash
# Builds what the scripts of review/6 to review/10 start beside the nodes: the stand-ins
# are plain Python, so that compiling them is all there is to do.
set -euo pipefail
cd "$(dirname "$0")"
for folder in standins-2 6 7 8 9 10; do
    python3 -m compileall -q -f "$folder"
done
