#!/usr/bin/env bash
# Installs missing packages and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
# Lets checkouts in different folders share compiler cache entries.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=true
[ -f build/build.ninja ] || cmake --preset default >/dev/null
cmake --build build
