#!/usr/bin/env bash
# The stand-ins are Python programs on the standard library; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q review
