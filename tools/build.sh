#!/usr/bin/env bash
# Installs what is missing and builds everything into build/.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/install.sh
# Lets checkouts in different folders share what the compiler cache holds.
export CCACHE_BASEDIR="$PWD" CCACHE_NOHASHDIR=true
[ -f build/build.ninja ] || cmake --preset default >/dev/null
cmake --build build
