# Functions that run a whole site on loopback: the platform's and the backend servers' stand-ins and
# 7 daemons in three failure domains as 3+2+2. To be sourced; stop_site ends just what it started.
#
# Set SITE_PORT (the first of 400 ports), SITE_DIR (for settings and logs) and BUILD before.

# A daemon that may follow an earlier one uses no slots for the longest request, 33 s with the allowance for clocks,
# so it isn't ready before that.
site_ready_timeout_s=60

site_domains=(puebla merida oaxaca)
site_entry_domains=(puebla puebla puebla merida merida oaxaca oaxaca)
site_workers=${SITE_WORKERS:-50}
declare -A site_pids

site_platform_port() { echo $((SITE_PORT)); }
site_platform_control() { echo "http://127.0.0.1:$((SITE_PORT + 1))"; }
site_backend_control() { echo "http://127.0.0.1:$((SITE_PORT + 2))"; }
site_door() { echo "127.0.0.1:$((SITE_PORT + 10 + $1))"; }

site_write_vms() {
    local index domain separator=""
    {
        echo "{\"vms\":["
        for index in 1 2 3 4 5 6 7; do
            domain=${site_entry_domains[$((index - 1))]}
            printf '%s{"id":"entry-%d","kind":"entry","state":"live","failureDomain":"%s","rack":"e%d","address":"127.0.0.1","port":%d,"callerPort":%d,"capacity":{"milliCores":0,"mebibytes":0,"accelerators":0},"slots":0,"connections":0}\n' \
                "$separator" "$index" "$domain" "$index" $((SITE_PORT + 20 + index)) $((SITE_PORT + 10 + index))
            separator=","
        done
        for ((index = 0; index < site_workers; ++index)); do
            domain=${site_domains[$((index % 3))]}
            printf ',{"id":"worker-%d","kind":"worker","state":"live","failureDomain":"%s","rack":"r%d","address":"127.0.0.1","port":%d,"callerPort":0,"capacity":{"milliCores":32000,"mebibytes":128000,"accelerators":1},"slots":8,"connections":64}\n' \
                "$index" "$domain" $((index / 24)) $((SITE_PORT + 100 + index))
        done
        echo "]}"
    } > "$SITE_DIR/vms.json"
}

site_write_settings() {
    cat > "$SITE_DIR/entry-$1.ini" <<INI
[vm]
id = entry-$1
failure-domain = ${site_entry_domains[$(($1 - 1))]}
address = 127.0.0.1
[door]
port = $((SITE_PORT + 10 + $1))
[peers]
port = $((SITE_PORT + 20 + $1))
[platform]
address = 127.0.0.1
port = $((SITE_PORT))
[log]
poll-interval = 200ms
${SITE_EXTRA_SETTINGS:-}
INI
}

site_start_stand_ins() {
    mkdir -p "$SITE_DIR"
    site_write_vms
    "$BUILD/Tests/StandIns/Platform/platform-standin" --port "$SITE_PORT" --control-port $((SITE_PORT + 1)) \
        --vms "$SITE_DIR/vms.json" --retention "${SITE_RETENTION:-100000}" > "$SITE_DIR/platform.log" 2>&1 &
    site_pids[platform]=$!
    "$BUILD/Tests/StandIns/Backend/backend-standin" --first-port $((SITE_PORT + 100)) --count "$site_workers" \
        --control-port $((SITE_PORT + 2)) --slots 8 --connections 64 --service-ms 20 > "$SITE_DIR/backend.log" 2>&1 &
    site_pids[backend]=$!
}

site_start_entry() {
    site_write_settings "$1"
    "$BUILD/Services/lagoonfordd/lagoonfordd" --settings "$SITE_DIR/entry-$1.ini" >> "$SITE_DIR/entry-$1.log" 2>&1 &
    site_pids[entry-$1]=$!
}

site_wait_ready() {
    local index deadline=$((SECONDS + site_ready_timeout_s))
    for index in "$@"; do
        until curl -fsS -m 2 "http://$(site_door "$index")/healthz" > /dev/null 2>&1; do
            [ "$SECONDS" -lt "$deadline" ] || { site_explain_not_ready "$index" >&2; return 1; }
            sleep 0.1
        done
    done
}

site_explain_not_ready() {
    local name
    echo "entry-$1 isn't ready after $site_ready_timeout_s s: $(curl -sS -m 2 "http://$(site_door "$1")/healthz" 2>&1 | head -c 500)"
    for name in platform backend "entry-$1"; do
        if kill -0 "${site_pids[$name]}" 2> /dev/null; then echo "$name runs; the end of its log:"; else echo "$name has ended; the end of its log:"; fi
        tail -n 15 "$SITE_DIR/$name.log"
    done
}

site_ctl() { "$BUILD/Utilities/lagoonctl/lagoonctl" --daemon "$(site_door "$1")" "${@:2}"; }

site_end() {
    local pid=${site_pids[$1]:-}
    [ -n "$pid" ] || return 0
    kill "-${2:-TERM}" "$pid" 2> /dev/null || true
    wait "$pid" 2> /dev/null || true
    unset "site_pids[$1]"
}

stop_site() {
    local name tries
    for name in "${!site_pids[@]}"; do kill -TERM "${site_pids[$name]}" 2> /dev/null || true; done
    for name in "${!site_pids[@]}"; do
        for ((tries = 0; tries < 150; ++tries)); do
            kill -0 "${site_pids[$name]}" 2> /dev/null || break
            sleep 0.1
        done
        if kill -KILL "${site_pids[$name]}" 2> /dev/null; then echo "$name didn't stop within 15 s" >&2; fi
        wait "${site_pids[$name]}" 2> /dev/null || true
    done
    site_pids=()
}
