#!/usr/bin/env bash
# Installs every package that building, testing and linting need, from Debian 12.
set -euo pipefail
packages=(
    g++ cmake ninja-build pkg-config clang-format clang-tidy ccache python3 curl
    libglib2.0-dev libsoup-3.0-dev libcereal-dev libboost-dev libboost-test-dev libgflags-dev libfmt-dev
    libtomlplusplus-dev nlohmann-json3-dev libxxhash-dev librapidcheck-dev
)
missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'ok installed' || missing+=("$package")
done
if [ ${#missing[@]} -gt 0 ]; then
    apt-get update -q
    DEBIAN_FRONTEND=noninteractive apt-get install -y -q --no-install-recommends "${missing[@]}"
fi
