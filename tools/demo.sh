#!/usr/bin/env bash
# Installs missing packages, builds, and runs the demo ring.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh | tail -n 1
exec python3 tools/demo.py
