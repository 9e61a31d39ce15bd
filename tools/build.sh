#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
[ -f build/build.ninja ] || cmake --preset default >/dev/null
cmake --build build
