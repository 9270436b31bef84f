#!/usr/bin/env bash
# Builds everything, runs a site on loopback (7 entry VMs in 3 failure domains, 50 workers on
# stand-ins), replays a recorded trace of requests and jobs while a failure domain is taken out and
# brought back, and prints a short report. Exits with 1 if anything was violated or lost.
set -euo pipefail
cd "$(dirname "$0")/.."

bash Meta/setup.sh
cmake --preset release > /dev/null
cmake --build --preset release -- --quiet
export BUILD=$PWD/build/release SITE_PORT=${SITE_PORT:-22000}
SITE_DIR=$(mktemp -d)
export SITE_DIR
. Tests/Process/site.sh
trap stop_site EXIT

site_start_stand_ins
for index in 1 2 3 4 5 6 7; do site_start_entry "$index"; done
site_wait_ready 1 2 3 4 5 6 7
site_ctl 1 rules publish Tests/Process/demo.rules --for "Ana Ruiz"

# Keys that were made before a VM came to own them are refused for the clocks' tolerance of 5 s.
sleep 6

doors=()
for index in 1 2 3 4 5 6 7; do doors+=(--door "$(site_door "$index")"); done
control=$(site_backend_control)
"$BUILD/Utilities/lagoonload/lagoonload" "${doors[@]}" --trace Tests/Traces/site.jsonl --job-wait-s 30 \
    --check-executions "${control#http://}" > "$SITE_DIR/load.txt" 2>&1 &
load=$!
sleep 6
site_ctl 1 domain out merida --for "Eva Luna"
sleep 6
site_ctl 1 domain back merida --for "Eva Luna"
status=0
wait "$load" || status=1

echo "== report"
cat "$SITE_DIR/load.txt"
moved=$(cat "$SITE_DIR"/entry-*.log | grep -c ' placer: hands ' || true)
echo "tasks handed over to another failure domain: $moved"
site_ctl 1 jobs
violations=$(curl -fsS -m 5 "$(site_platform_control)/control/violations")
report=$(curl -fsS -m 5 "$(site_backend_control)/control/report")
slots=$(grep -o '"slotViolations":[0-9]*' <<< "$report" | awk -F: '{sum += $2} END {print sum}')
connections=$(grep -o '"connectionViolations":[0-9]*' <<< "$report" | awk -F: '{sum += $2} END {print sum}')
echo "violations counted by the platform's stand-in: $violations"
echo "violations counted by the backend servers' stand-in: slots $slots, connections $connections"
grep -q '"total":0' <<< "$violations" || status=1
grep -q '^untruths: .*"total":0' "$SITE_DIR/load.txt" || status=1
[ "$slots" -eq 0 ] && [ "$connections" -eq 0 ] || status=1
echo "logs: $SITE_DIR"
if [ "$status" -eq 0 ]; then echo "violations found: 0"; else echo "VIOLATIONS FOUND, see above"; fi
exit "$status"
