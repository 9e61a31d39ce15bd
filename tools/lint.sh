#!/usr/bin/env bash
# Checks the format and runs clang-tidy on all sources or on the given files.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t sources < <(git ls-files --cached --others --exclude-standard \
  '*.cc' '*.h' | grep -v '^schema/generated/')
if [ "$#" -gt 0 ]; then
  sources=("$@")
fi
clang-format --dry-run --Werror "${sources[@]}"
echo "format: ${#sources[@]} files clean"
mapfile -t units < <(printf '%s\n' "${sources[@]}" | grep '\.cc$')
if [ "${#units[@]}" -gt 0 ]; then
  tools/lint.py "${units[@]}"
fi
