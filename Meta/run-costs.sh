#!/usr/bin/env bash
# Counts the instructions that a run of a task costs its owner: bash Meta/run-costs.sh PROGRAM, where
# PROGRAM is the built run-costs. Fails if a part costs a hundredth more than
# Tests/OwnerLoad/run-costs.txt says. TestOwnerLoad computes from that file whether an owner bears
# twice what comes in on a large site, so a dearer run has to pass there, too.
set -euo pipefail

program=$1
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT

# Prints the instructions of the program's first thread for each time that it did the part.
instructions() {
    local times
    times=$(valgrind --quiet --tool=callgrind --instr-atstart=no --separate-threads=yes \
        --callgrind-out-file="$folder/$1" "$program" "$1" 2> "$folder/$1.err")
    awk -v times="$times" '/^(totals|summary):/ { total = $2 } END { printf "%d\n", total / times }' "$folder/$1-01"
}

# The counts differ between kinds of processors.
if [ "$(uname -m)" != aarch64 ]; then
    for part in start renewal decisions; do
        echo "$part: $(instructions "$part") instructions; none are recorded for $(uname -m)"
    done
    exit 0
fi

failed=0
while read -r part recorded; do
    counted=$(instructions "$part")
    echo "$part: $counted instructions, $recorded recorded"
    if [ "$((100 * counted))" -gt "$((101 * recorded))" ]; then
        echo "$part has become dearer" >&2
        failed=1
    fi
    [ "$((100 * counted))" -ge "$((99 * recorded))" ] || echo "$part has become cheaper: record it"
done < Tests/OwnerLoad/run-costs.txt
exit "$failed"
