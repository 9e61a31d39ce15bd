#!/usr/bin/env bash
# Builds, then measures the resource costs that docs/CAPACITY.md uses.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh | tail -n 1
exec python3 tools/capacity.py "$@"
