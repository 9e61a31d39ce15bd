#!/usr/bin/env bash
# Compares the policies on rings of real processes on loopback. Results go to
# out/; the summary in Markdown goes to standard output.
#   tools/bench.sh [--quick] [--solo] [--scenario cascade|zarqa] ...
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/bench.py "$@"
