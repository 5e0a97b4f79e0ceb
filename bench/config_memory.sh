#!/bin/bash
# Resident memory of `serve` by operators' file: none, each file given. config_memory.sh PROGRAM [FILE...]
# Prints kB: all, of which private (not backed by the program's file), and the peak since the start.
set -euo pipefail
program=$1
shift
folder=$(mktemp -d)
trap 'rm -rf "$folder"' EXIT
class() { echo "{\"name\":\"$1\",\"idempotency\":\"pure\",\"dedup_scope\":\"all\",\"deadline_ms\":16000,\"objective_ms\":2000,\"importance\":1,\"late_share\":0.5,\"key_ttl_ms\":5000}"; }
members=$(for i in $(seq 0 499); do printf '%s{"name":"member-%d","allowance_per_s":10,"share":0.002}' "$([ "$i" = 0 ] || echo ,)" "$i"; done)
cat >"$folder/config.json" <<J
{"name":"m","seed":"1","limits":{"sockets":256,"disk_mb":3,"memory_mb":192},"known":{"rev":1,"all":true,"targets":[]},
"settings":{"specifics":{"workers":8,"batch_by_kind":[3],"kind_apart":[true],"toll":[0]},
"bounds":{"most_held":20,"send_cap":4,"conn_idle_ms":3000,"dial_timeout_ms":500},"instances":3,"tick_ms":5,"discovery":"push",
"invariants":{"drain_grace_ms":2000},"localities":["a"],"host_types":["m"],"report":{"fields":[],"how":"off"},
"request_classes":[$(class ride),$(class payment),$(class fee)],"customers":[$members]}}
J
mkdir "$folder/state"
for file in none "$@"; do
    arguments=()
    [ "$file" = none ] || arguments=(serve --operator "$file")
    PROXY_LISTEN=127.0.0.1:18431 PROXY_DISCOVERY=127.0.0.1:18432 PROXY_STATE=$folder/state PROXY_CONFIG=$folder/config.json \
        "$program" "${arguments[@]}" 2>"$folder/log" &
    pid=$!
    sleep 1.5
    awk -v file="$(basename "$file")" '/^VmRSS/{r=$2} /^RssAnon/{a=$2} /^VmHWM/{h=$2} END{printf "%-24s %7d %7d %7d\n", file, r, a, h}' "/proc/$pid/status"
    kill -TERM "$pid"
    wait "$pid" || { cat "$folder/log"; exit 1; }
done
