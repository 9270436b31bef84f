#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start, into build/review.
set -euo pipefail
cd "$(dirname "$0")"

mkdir -p ../build/review
for source in *.cc; do
    name=$(basename "$source" .cc)
    # shellcheck disable=SC2046
    g++ -std=c++20 -O1 -g -Wall -Wextra -pthread "$source" -o "../build/review/$name" $(pkg-config --cflags --libs jsoncpp)
done
