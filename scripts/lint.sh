#!/usr/bin/env bash
# Runs clang-tidy over all sources (or those given), one process per core. Files that were clean and have not changed
# since are passed over.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake --preset default >/dev/null
exec python3 scripts/lint.py "$@"
