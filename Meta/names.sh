#!/usr/bin/env bash
# The wire names of the users' platform belong to platform/ and its tests only.
set -euo pipefail
cd "$(dirname "$0")/.."

names='fenceToken|freeCapacity|run-start|run-stop|log-append|log-read|log-newest|coldLeftMs|expiresMs|lastSeen|antiAffinity|pathPrefix|maxAttempts|sloMs|machine-upkeep|X-Expect-Instance|X-Deadline-Ms|keyed\.servers|keyed\.op'
if git grep -nE "$names" -- Libraries include Services Utilities; then
    echo "names: the lines above use the platform's words outside platform/"
    exit 1
fi
echo "names: none of the platform's outside platform/"
