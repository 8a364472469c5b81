#!/usr/bin/env bash
# A lasting job on a rack whose executors crash again and again.
set -u
case_folder=$(cd "$(dirname "$0")" && pwd)
. "$case_folder/../standin-3/fleet.sh"

start_store
put_config 7 "[$(route r-batch /batch/ 3)]"
for n in $(seq 1 16); do
    # Eight racks of two. Those of the first rack are of kind b.
    rack=r1-$(((n + 1) / 2))
    kind=a; [ "$rack" = r1-1 ] && kind=b
    start_executor "e$n" "$kind" "$rack"
done
start_edge edge-1
start_edge edge-2
await_daemons
sleep 2

job=/batch/5c0e7a21d94b36f8
lasting='{"taskSpec":"lasts","steps":[{"count":1,"cpu":500,"memMb":256,'
lasting+='"longRunning":true,"requires":"b"}]}'
ask edge-1 POST "$job" "$lasting"
[ "$status" = 200 ] || cannot "the job was not accepted"
sleep 4

# One rack of eight, 2 of 16 executors, is down for 2 s each time.
for crash in 1 2 3 4 5 6; do
    if [ "$trouble" != 0 ]; then
        kill_executor e1
        kill_executor e2
        sleep 2
        start_executor e1
        start_executor e2
    else
        sleep 2
    fi
    sleep 8
    ask edge-2 GET "$job"
    case $answer in
    *failed* | *canceled*)
        echo "broken: a lasting job is shown as $answer after crash $crash"
        say "broken: LOST after crash $crash"
        exit 1
        ;;
    esac
done
sleep 9
ask edge-1 GET "$job"
case $answer in
*running*) ;;
*) echo "broken: the job is shown as $answer"; exit 1 ;;
esac
echo "held"
exit 0
