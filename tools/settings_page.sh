#!/usr/bin/env bash
# Generates docs/settings.md from the settings tables of the binaries. With
# --check, fails if the page is not up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
page() {
  echo "# Settings"
  echo
  echo "Made by tools/settings_page.sh from the tables that also read and check the files. JSON with"
  echo "comments; a dot in a key stands for a nested object. Unknown, missing, duplicate and"
  echo "out-of-range keys are errors, all reported in one go."
  for binary in ringentry ringkeeper ringctl platform_entry platform_keeper; do
    echo
    echo "## $binary"
    echo
    echo "| key | type | range | default | meaning |"
    echo "| --- | --- | --- | --- | --- |"
    "build/$binary" --describe-settings
  done
}
if [ "${1:-}" = "--check" ]; then
  diff -u docs/settings.md <(page) && echo "settings page: up to date"
else
  page > docs/settings.md
fi
