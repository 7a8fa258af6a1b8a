#!/bin/sh
# Measures what one node of the example of Stabilis costs with the roles given: heap after a
# collection, resident memory, processor time and bytes, with nothing to do and during a wave. A
# second node holds the control role in each run, so that "entry" alone follows the same log.
# usage: foxtail-controller/measure-control.sh entry|entry,control|control [seconds]
set -eu
root=$(CDPATH='' cd -- "$(dirname -- "$0")/.." && pwd)
roles="$1"
seconds="${2:-30}"
base="$root/examples/stabilis/base.jsonc"
export FOXTAIL_TOKEN=example-claims-token
export FOXTAIL_ADMIN=127.0.0.1:18302
started=""
trap 'for p in $started; do kill "$p" 2>/dev/null || true; done' EXIT

node() {
    "$root/bin/foxtail-entry" --settings "$base" --node "$1" --roles "$2" --new-deployment \
        >/dev/null 2>&1 &
    started="$started $!"
}

ready() {
    for _ in $(seq 100); do curl -sf -o /dev/null "http://127.0.0.1:$1/health" && return; sleep 0.2; done
    echo "no answer on port $1" >&2; exit 1
}

processor() { awk '{print $14 + $15}' "/proc/$pid/stat"; }

bytes() { awk '/^[rw]char/ {s += $2} END {print s}' "/proc/$pid/io"; }

sample() {
    p0=$(processor); b0=$(bytes)
    sleep "$seconds"
    p1=$(processor); b1=$(bytes)
    echo "$roles, $1: $(awk -v t="$((p1 - p0))" -v s="$seconds" 'BEGIN {print t / s}')% of a core," \
        "$(((b1 - b0) / seconds)) bytes/s"
}

"$root/bin/foxtail-standin" --settings "$base" >/dev/null 2>&1 &
started="$started $!"
node sofia-1-e1 "$roles"
pid=$!
ready 18301
sleep 3
node sofia-1-e2 control
ready 18302
"$root/bin/foxtail" config publish "$base" --from 0 --why measure >/dev/null 2>&1
sleep 10
sample "nothing to do"
"$root/bin/foxtail" wave start w1 --zone sofia-1 --why measure >/dev/null 2>&1 || echo "no wave"
sample "wave"
jcmd "$pid" GC.run >/dev/null
echo "$roles: heap $(jcmd "$pid" GC.heap_info | awk '/used/ {s += $4 + 0} END {print s}')" \
    "K (generations and metaspace), resident $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status") kB"
jcmd "$pid" GC.heap_info
