#!/usr/bin/env python3
"""Runs clang-tidy on the given sources in parallel.

Sources that have passed before are skipped if nothing that affects the result
has changed. The cache folder holds an empty file for each pass, named by a
digest of the source, its headers, the compile command, the checks and the
version of clang-tidy.
"""

import concurrent.futures
import hashlib
import json
import os
import pathlib
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
CACHE = pathlib.Path(os.environ.get("XDG_CACHE_HOME", pathlib.Path.home() / ".cache")) / "persimmonring-lint"


def compile_commands():
    entries = json.loads((ROOT / "build/compile_commands.json").read_text())
    return {str(pathlib.Path(entry["file"]).resolve()): entry["command"] for entry in entries}


def headers_by_source():
    """Returns the headers of each source, as the compiler reported them to ninja."""
    listing = subprocess.run(["ninja", "-C", ROOT / "build", "-t", "deps"], capture_output=True, text=True, check=True)
    found = {}
    for block in listing.stdout.split("\n\n"):
        files = [line.strip() for line in block.splitlines()[1:]]
        if files:
            found[str((ROOT / "build" / files[0]).resolve())] = files[1:]
    return found


def digest(source, command, headers, common):
    total = hashlib.sha256(common)
    total.update(command.replace(str(ROOT), "").encode())
    # Paths are digested relative to the checkout, so that all checkouts share the cache.
    paths = [(ROOT / "build" / name).resolve() for name in [str(source), *headers]]
    for name, path in sorted((str(path).removeprefix(str(ROOT)), path) for path in paths):
        total.update(name.encode())
        total.update(hashlib.sha256(path.read_bytes()).digest())
    return total.hexdigest()


def lint(source):
    run = subprocess.run(["clang-tidy", "-p", "build", "--quiet", source], cwd=ROOT, capture_output=True, text=True)
    return run.returncode, run.stdout


def main():
    sources = [str((ROOT / name).resolve()) for name in sys.argv[1:]]
    commands = compile_commands()
    headers = headers_by_source()
    version = subprocess.run(["clang-tidy", "--version"], capture_output=True, check=True).stdout
    common = version + (ROOT / ".clang-tidy").read_bytes()
    CACHE.mkdir(parents=True, exist_ok=True)
    due = {}
    for source in sources:
        # A source without a known list of headers is never skipped.
        key = digest(source, commands[source], headers[source], common) if source in commands and source in headers else None
        if key is None or not (CACHE / key).exists():
            due[source] = key
    failed = 0
    with concurrent.futures.ThreadPoolExecutor(os.cpu_count()) as pool:
        for (source, key), (code, text) in zip(due.items(), pool.map(lint, due)):
            if code != 0:
                failed += 1
                print(text)
            elif key:
                (CACHE / key).touch()
    print(f"lint: {len(sources) - failed} of {len(sources)} files clean, {len(sources) - len(due)} passed before")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
