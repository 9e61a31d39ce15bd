#!/usr/bin/env bash
# Validates every settings file under examples/ with the binary that reads it.
set -euo pipefail
cd "$(dirname "$0")/.."
count=0
for file in examples/*/*.json; do
  case "$(basename "$file")" in
    keeper-*) build/ringkeeper --config "$file" --check ;;
    entry-*) build/ringentry --config "$file" --check ;;
    *) continue ;;
  esac
  count=$((count + 1))
done
echo "examples: $count settings files are valid"
