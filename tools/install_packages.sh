#!/usr/bin/env bash
# Installs the Debian packages that the build and the tests need. Does nothing when all of them are installed.
set -euo pipefail

packages=(
    g++ cmake ninja-build ccache clang-format clang-tidy clang libclang-rt-14-dev curl
    libboost1.81-dev libboost-json1.81-dev libboost-system1.81-dev
    libcapnp-dev capnproto libcxxopts-dev libspdlog-dev libgtest-dev libgmock-dev libssl-dev
)

missing=()
for package in "${packages[@]}"; do
    if ! dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed'; then
        missing+=("$package")
    fi
done
if ((${#missing[@]} == 0)); then
    exit 0
fi
echo "installing: ${missing[*]}"
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq --no-install-recommends "${missing[@]}" >/dev/null
