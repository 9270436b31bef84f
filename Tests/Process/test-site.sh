#!/usr/bin/env bash
# A whole site of separate processes under failure. Only outcomes are checked, each awaited for up to
# 60 s, so that a busy machine doesn't change the verdict.
set -euo pipefail
: "${BUILD:?the build folder}"
export SITE_PORT=${SITE_PORT:-25000} SITE_WORKERS=12
SITE_DIR=$(mktemp -d)
export SITE_DIR
cd "$(dirname "$0")/../.."
. Tests/Process/site.sh
trap stop_site EXIT

failures=0
passes=0
check() {
    if [ "$2" = "$3" ]; then passes=$((passes + 1)); else
        failures=$((failures + 1))
        echo "FAILED: $1: expected '$3', got '$2'"
    fi
}
# await WHAT EXPECTED COMMAND...: repeats the command until it prints EXPECTED.
await() {
    local tries got=""
    for ((tries = 0; tries < 300; ++tries)); do
        got=$("${@:3}" 2> /dev/null || true)
        [ "$got" != "$2" ] || break
        sleep 0.2
    done
    check "$1" "$got" "$2"
}
platform_fault() { curl -fsS -m 5 -X POST "$(site_platform_control)/control/fault" -d "$1" > /dev/null; }
outcome_of() { curl -sS -m 30 -o /dev/null -D - "$@" | tr -d '\r' | awk -F': ' 'tolower($1) == "lagoonford-outcome" {print $2}'; }
job() { printf '{"id":"%s","team":"oaxaca-sur","class":"roster","milliCores":1000,"mebibytes":512,"expectedRunMs":%d,"payload":"{\\"runMs\\":%d}"}' "$1" "$2" "$2"; }
state_of() { site_ctl "$1" --json explain "$2" | grep -o '"state":"[a-z-]*"' | cut -d'"' -f4; }
attempts_of() { site_ctl "$1" --json explain "$2" | grep -o '"attempts":[0-9]*' | cut -d: -f2; }
uuid7() { printf '%012x' "$(date +%s%3N)" | sed -E 's/^(.{8})(.{4})$/\1-\2-7abc-8def-0123456789ab/'; }

site_start_stand_ins
for index in 1 2 3 4 5 6 7; do site_start_entry "$index"; done
site_wait_ready 1 2 3 4 5 6 7
site_ctl 1 rules publish Tests/Process/demo.rules --for "Ana Ruiz" > /dev/null
base=$(grep -v '^$' Tests/Process/demo.rules)

# Of two racing operators the log's order lets one win; the other is told.
body=$(printf '%s' "$base" | sed 's/\\/\\\\/g; s/"/\\"/g' | awk '{printf "%s\\n", $0}')
for who in Ana Eva; do
    curl -sS -m 30 -o /dev/null -w '%{http_code}\n' -X POST "http://$(site_door $([ $who = Ana ] && echo 1 || echo 4))/admin/rules" \
        -d "{\"base\":1,\"by\":\"$who\",\"text\":\"$body\"}" > "$SITE_DIR/race-$who" &
    eval "race_$who=$!"
done
wait "$race_Ana" "$race_Eva"
check "one of two racing operators wins" "$(sort "$SITE_DIR/race-Ana" "$SITE_DIR/race-Eva" | tr '\n' ' ')" "200 409 "

# A keyed request runs once, also when it is repeated at a door of another failure domain.
sleep 6
key=$(uuid7)
first=$(curl -sS -m 30 -X POST "http://$(site_door 2)/service/remind" -H "Idempotency-Key: $key" -H 'Lagoonford-Team: puebla-centro')
second=$(curl -sS -m 30 -X POST "http://$(site_door 6)/service/remind" -H "Idempotency-Key: $key" -H 'Lagoonford-Team: puebla-centro')
check "the repetition meets the first outcome" "$second" "$first"
check "the keyed request ran once" \
    "$(curl -fsS "$(site_backend_control)/control/report" | grep -o '"repeatedKeys":{[^}]*}')" '"repeatedKeys":{}'

# The placers die while jobs run; the jobs finish once.
for number in 1 2 3 4 5 6; do job "kill-$number" 4000 | site_ctl "$number" submit - > /dev/null; done
for number in 1 2 3 4 5 6; do await "kill-$number is placed" 1 attempts_of 7 "kill-$number"; done
site_end entry-1 KILL
site_end entry-4 KILL
site_end entry-6 KILL
for number in 1 2 3 4 5 6; do await "kill-$number finishes" finished state_of 3 "kill-$number"; done
for index in 1 4 6; do site_start_entry "$index"; done
site_wait_ready 1 4 6

# The log gives no answers: requests are answered; of a job nobody can say whether it was recorded,
# and its repetition under the same id, at another door, makes it run once.
platform_fault '{"target":"/log","down":true}'
await "requests go on without the log" answered outcome_of "http://$(site_door 2)/service/plan"
check "a job without an answer is in doubt" "$(outcome_of -X POST "http://$(site_door 2)/jobs" -d "$(job doubt 100)")" unknown
platform_fault '{"target":"/log","down":false}'
job doubt 100 > "$SITE_DIR/doubt.json"
await "the repetition is taken" "doubt submitted" site_ctl 5 submit "$SITE_DIR/doubt.json"
await "and finishes" finished state_of 7 doubt

# The platform is out of reach: requests are answered, and a job is refused as not run.
platform_fault '{"target":"/","down":true}'
await "requests go on without the platform" answered outcome_of "http://$(site_door 2)/service/plan"
check "a job is refused as not run" "$(outcome_of -X POST "http://$(site_door 2)/jobs" -d "$(job dark 100)")" not-run
platform_fault '{"target":"/","down":false}'
job light 100 > "$SITE_DIR/light.json"
await "jobs are taken again" "light submitted" site_ctl 2 submit "$SITE_DIR/light.json"
await "and finish" finished state_of 5 light
check "what was refused as not run never ran" "$(state_of 5 dark 2> /dev/null || true)" ""

# A graceful shutdown cuts off no request in progress.
curl -sS -m 30 "http://$(site_door 3)/service/slow" -H 'X-Service-Ms: 4000' -o "$SITE_DIR/slow" -w '%{http_code}' > "$SITE_DIR/slow-status" &
slow=$!
sleep 1
site_end entry-3
wait "$slow" || true
check "the slow request is answered whole" "$(cat "$SITE_DIR/slow-status")" 200

check "no violation at the workers" "$(curl -fsS "$(site_platform_control)/control/violations" | grep -o '"total":[0-9]*')" '"total":0'
check "no violation at the backend servers" \
    "$(curl -fsS "$(site_backend_control)/control/report" | grep -oE '"(slot|connection)Violations":[1-9][0-9]*' | wc -l)" 0
stop_site
echo "$passes passed, $failures failed"
[ "$failures" -eq 0 ] || { echo "logs: $SITE_DIR"; exit 1; }
rm -rf "$SITE_DIR"
