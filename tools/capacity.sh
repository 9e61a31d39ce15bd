#!/usr/bin/env bash
# Builds, then prints the slopes of docs/CAPACITY.md.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh | tail -n 1
exec python3 tools/capacity.py "$@"
