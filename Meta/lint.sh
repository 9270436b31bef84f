#!/usr/bin/env bash
# Runs clang-tidy over our own sources. With file names it checks only those.
# A file whose text, own headers and checks are unchanged since it last passed isn't checked again.
set -euo pipefail
cd "$(dirname "$0")/.."

build=build/release
cache=${LAGOONFORD_LINT_CACHE:-.cache/lint}
mkdir -p "$cache"
export build cache
checks=$(sha256sum < .clang-tidy | cut -d' ' -f1)
export checks

# Each source with those of our own headers that its last build read.
dependencies=$(mktemp)
trap 'rm -f "$dependencies"' EXIT
ninja -C "$build" -t deps | awk -v root="$PWD/" '
    /^[^ ].*: #deps/ { if (line != "") print line; line = ""; isFirst = 1; next }
    /^ / {
        path = $1
        if (index(path, root) == 1) path = substr(path, length(root) + 1)
        else if (substr(path, 1, 6) == "../../") path = substr(path, 7)
        else if (substr(path, 1, 1) == "/") next
        line = line (isFirst ? "" : " ") path
        isFirst = 0
    }
    END { if (line != "") print line }' > "$dependencies"
export dependencies

# Clang 14 has coroutines but doesn't announce them the way that GCC's library asks for.
check_one() {
    local key
    local files
    read -r -a files <<< "$(awk -v source="$1" '$1 == source { print; exit }' "$dependencies")"
    [ "${#files[@]}" -gt 0 ] || files=("$1")
    key=$(printf '%s %s' "$checks" "$(cat "${files[@]}" | sha256sum)" | sha256sum | cut -d' ' -f1)
    [ ! -e "$cache/$key" ] || return 0
    local output
    if output=$(clang-tidy --quiet -p "$build" \
        --extra-arg=-D__cpp_impl_coroutine=201902L --extra-arg=-DBOOST_ASIO_HAS_CO_AWAIT \
        --extra-arg=-DBOOST_ASIO_HAS_STD_COROUTINE --extra-arg=-Wno-unknown-warning-option \
        --extra-arg=-Wno-ignored-optimization-argument --extra-arg=-Wno-unused-command-line-argument "$1" 2>&1); then
        touch "$cache/$key"
        return 0
    fi
    printf '%s\n' "$output" | grep -vE '^[0-9]+ warnings? (and [0-9]+ errors? )?generated|^Suppressed|^Use -header-filter'
    return 1
}
export -f check_one

if [ $# -gt 0 ]; then
    files=("$@")
else
    mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cpp')
fi
printf '%s\n' "${files[@]}" | xargs -r -P "$(nproc)" -I{} bash -c 'check_one {}'
echo "lint: ${#files[@]} files clean"
