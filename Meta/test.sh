#!/usr/bin/env bash
# Builds everything and runs all tests. With --sanitize it uses the sanitizer build.
set -euo pipefail
cd "$(dirname "$0")/.."

preset=release
[ "${1:-}" != --sanitize ] || preset=sanitize
bash Meta/setup.sh
cmake --preset "$preset" > /dev/null
cmake --build --preset "$preset"
ctest --preset "$preset" -j "$(nproc)"
