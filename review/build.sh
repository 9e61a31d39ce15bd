#!/usr/bin/env bash
# Checks what the scripts of the review need. Their stand-ins are Python and need no
# build; the project's own programs come from the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PYTHON'
import asyncio, json, sys, tomllib
if sys.version_info < (3, 11):
    sys.exit("the stand-ins need Python 3.11 or later")
PYTHON
for source in standins/*.py [1-5]/*.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' \
    "$source"
done
echo "stand-ins: ready"
