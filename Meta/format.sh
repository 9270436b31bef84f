#!/usr/bin/env bash
# Formats all sources; with --check it only reports what isn't formatted.
set -euo pipefail
cd "$(dirname "$0")/.."

mode=(-i)
[ "${1:-}" != --check ] || mode=(--dry-run --Werror)
git ls-files --cached --others --exclude-standard '*.cpp' '*.h' | xargs -r -P "$(nproc)" -n 16 clang-format "${mode[@]}"
