#!/usr/bin/env bash
# A start order gets no answer and is carried out 4 s later, by an executor that
# has crashed and started again meanwhile.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../standin-3/fleet.sh"

late_ms=4000
late_orders=2 # The order and its repetition.
[ "$trouble" = 0 ] && late_orders=0

start_store
put_config 7 "[$(route r-batch /batch/ 3)]"
# The first executor keeps its id over its crash. The daemons reach it through a
# proxy that delays orders.
port; proxy=$taken
port; backend=$taken
"$standin" proxy "$proxy" "$backend" "$late_ms" "$late_orders" \
    >>"$work/proxy.log" 2>&1 &
start_first() { # FIRST_BEAT_MS
    "$standin" executor i-7e000001 "$backend" "$store" svc1 zone-a a r1-1 \
        16000 65536 6000 "$proxy" "$1" >>"$work/executor-first.log" 2>&1 &
    first=$!
    say "executor i-7e000001 starts"
}
start_first 0
start_edge edge-1
start_edge edge-2
await_daemons
sleep 2

ask edge-1 POST /batch/5c0e7a21d94b36f8 \
    '{"taskSpec":"12000","steps":[{"count":1,"cpu":500,"memMb":256,"estRuntimeMs":12000}]}'
[ "$status" = 200 ] || cannot "the job was not accepted"
start_executor e2 a r1-2
sleep 3
if [ "$trouble" != 0 ]; then
    say "executor i-7e000001 is killed"
    kill -KILL "$first"
    wait "$first" 2>/dev/null
    sleep 0.5
    # It writes to the store each 1.5 s; its first entry comes 1 s after it is up.
    start_first 1000
else
    sleep 0.5
fi
sleep 16
ask edge-2 GET /batch/5c0e7a21d94b36f8

# Two runs of the task at once: a start while another run has not ended.
open=0
while read -r at who event; do
    case $event in
    *'"start":"5c0e7a21d94b36f8.0.0.0"'*)
        open=$((open + 1))
        if [ "$open" -gt 1 ]; then
            say "broken: TWICE, $who starts it at $at beside another run"
            echo "broken: two runs of one task at once"
            exit 1
        fi
        ;;
    *'"end":"5c0e7a21d94b36f8.0.0.0"'*) open=$((open - 1)) ;;
    esac
done < <(cat "$work"/executor-*.log | sort -s -n -k1,1)
case $answer in
*completed*) ;;
*) cannot "the job is shown as $answer" ;;
esac
echo "held"
exit 0
