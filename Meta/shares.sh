#!/usr/bin/env bash
# Prints the share of test code, and of code that makes many nodes act together: decisions, routing,
# limits, retries, membership, state and recovery.
set -euo pipefail
cd "$(dirname "$0")/.."
count() { git ls-files -- "$@" | xargs -r cat | wc -l; }
all=$(count '*.cpp' '*.h')
tests=$(count 'Tests/*.cpp' 'Tests/*.h')
together=$(count 'Libraries/Lib'{Job,Lease,Task,Placement,Routing,Rules}/'*' 'include/Lib'{Job,Lease,Task,Placement,Routing,Rules}/'*')
echo "lines of code: $all"
echo "tests: $tests ($((100 * tests / all))%, under 33%)"
echo "decisions, routing, limits, retries, membership, state, recovery: $together ($((100 * together / all))%, at least 25%)"
