#!/usr/bin/env bash
# Checks format and runs clang-tidy on all sources, or on the files given.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h' | grep -v '^schema/generated/')
if [ "$#" -gt 0 ]; then
  sources=("$@")
fi
clang-format --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
printf '%s\n' "${sources[@]}" | grep '\.cc$' |
  xargs -r -P "$(nproc)" -n 1 clang-tidy -p build --quiet 2>/dev/null
echo "lint: clean"
