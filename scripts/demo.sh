#!/usr/bin/env bash
# Sets up and runs the main job on a fresh Debian 12 machine: installs packages, builds, starts a small fleet
# with stand-ins on loopback, sends one request of each kind, prints the results and stops everything.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/install-dependencies.sh
cmake --preset default >/dev/null
cmake --build --preset default -j "$(nproc)"
exec python3 scripts/demo.py "$@"
