#!/bin/sh
# Builds the stand-ins of the review's scripts.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q review
