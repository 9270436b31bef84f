#!/usr/bin/env bash
# Installs the Debian packages that the build and the checks need.
set -euo pipefail

packages=(
    build-essential ca-certificates ccache clang-format clang-tidy cmake curl git ninja-build pkg-config
    libbenchmark-dev libboost-dev libboost-system-dev libcurl4-openssl-dev libinih-dev libjsoncpp-dev
    libjsonrpccpp-dev liblog4cxx-dev libmimalloc-dev librapidcheck-dev libsodium-dev libtclap-dev libtrompeloeil-cpp-dev libxxhash-dev
    prometheus-cpp-dev rapidjson-dev catch2 valgrind zlib1g-dev
)

missing=()
for package in "${packages[@]}"; do
    dpkg-query -W -f='${Status}' "$package" 2>/dev/null | grep -q 'install ok installed' || missing+=("$package")
done
[ "${#missing[@]}" -gt 0 ] || exit 0

as_root=()
[ "$(id -u)" -eq 0 ] || as_root=(sudo)
"${as_root[@]}" apt-get update -q
DEBIAN_FRONTEND=noninteractive "${as_root[@]}" apt-get install -y -q --no-install-recommends "${missing[@]}"
