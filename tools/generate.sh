#!/usr/bin/env bash
# Regenerates the committed FlatBuffers code from schema/*.fbs.
set -euo pipefail
cd "$(dirname "$0")/.."
flatc --cpp --cpp-std c++17 --gen-object-api --gen-compare --scoped-enums \
  --filename-suffix .generated -o schema/generated schema/*.fbs
