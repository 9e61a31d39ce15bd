#!/usr/bin/env bash
# Benchmarks the scheduling policies on rings of processes on loopback. Writes
# result files to out/ and a Markdown summary to standard output.
#   tools/bench.sh [--quick] [--solo] [--scenario cascade|zarqa] ...
set -euo pipefail
cd "$(dirname "$0")/.."
exec python3 tools/bench.py "$@"
