#!/usr/bin/env bash
# Runs clang-tidy over all sources (or those given), one process per core.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -f build/compile_commands.json ] || cmake --preset default >/dev/null
files=("$@")
if [ ${#files[@]} -eq 0 ]; then
    mapfile -t files < <(git ls-files '*.cpp')
fi
printf '%s\0' "${files[@]}" | xargs -0 -n 1 -P "$(nproc)" clang-tidy -p build --quiet 2>/dev/null
