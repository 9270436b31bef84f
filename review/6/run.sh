#!/usr/bin/env bash
# Exits with 1 if the rule of claim.txt was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
timeout -k 2 115 build/review-2/frozen-owner review/6/record.txt
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
