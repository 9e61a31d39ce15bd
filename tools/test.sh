#!/usr/bin/env bash
# Installs, builds, checks format and lint, runs all tests.
set -euo pipefail
cd "$(dirname "$0")/.."
tools/build.sh
tools/settings_page.sh --check
tools/check_examples.sh
tools/check_names.sh
tools/lint.sh
ctest --test-dir build --output-on-failure -j "$(( $(nproc) / 2 + 1 ))"
# One short run with a fixed seed; longer ones and fresh seeds are run by hand.
python3 platform/soak/soak.py --seed 1 --seconds 5
