#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the cases 6 to 10 into build/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p build/review-2
for name in frozen-owner long-tasks wide-gang crash-at-start lasting-tasks; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/review-2/$name" "review/$name.cc"
done
