#!/bin/sh
# Builds every stand-in that the cases 6 to 10 start. They are plain Python with the standard library alone, so
# this only checks that the interpreter of the deploy file's environment compiles them.
set -eu
cd "$(dirname "$0")"
exec ../.venv/bin/python -c '
import pathlib, sys
files = [*pathlib.Path("stand_ins").glob("*.py"), *pathlib.Path(".").glob("[0-9]*/case.py")]
for path in files:
    compile(path.read_text(), str(path), "exec")
print(f"{len(files)} files compile")
'
