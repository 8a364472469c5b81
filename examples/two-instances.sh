#!/usr/bin/env bash
# Two instances and one stand-in platform on loopback: publishes the samples,
# submits at one instance, asks at the other, then shuts everything down.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$PWD/build/release/acaciastile
work=$(mktemp -d)
instances=()
platform=
finish() {
    for pid in "${instances[@]}"; do kill -TERM "$pid" || true; done
    for pid in "${instances[@]}"; do wait "$pid" || true; done
    [ -z "$platform" ] || kill -TERM "$platform"
    rm -rf "$work"
}
trap finish EXIT

# The value of one field of an answer for people.
field() { sed -n "s/^$1: //p" "$2"; }

"$program" keys make first >"$work/first.txt"
field key "$work/first.txt" >"$work/operator.key"
for number in 1 2; do
    cat >"$work/entry-$number.json" <<SETTINGS
{
  "instance": {"name": "entry-$number", "data_centre": "almaty-$number"},
  "callers": {"address": "127.0.0.1:7${number}80"},
  "peers": {"address": "127.0.0.1:7${number}81"},
  "platform": {"address": "127.0.0.1:7070"},
  "shutdown": {"readiness_grace": "200ms"},
  // The first operator's key: its salted hash, never the key itself.
  "operators": {"bootstrap": {
    "id": "$(field operators.bootstrap.id "$work/first.txt")",
    "salt": "$(field operators.bootstrap.salt "$work/first.txt")",
    "hash": "$(field operators.bootstrap.hash "$work/first.txt")"}}
}
SETTINGS
    "$program" check-settings "$work/entry-$number.json"
done

entries=entry-1@almaty-1@127.0.0.1:7181,entry-2@almaty-2@127.0.0.1:7281
"$program" platform --site=both --entries="$entries" &
platform=$!
for number in 1 2; do
    "$program" serve "$work/entry-$number.json" 2>"$work/entry-$number.log" &
    instances+=($!)
done
for port in 7180 7280; do
    until curl -sf "http://127.0.0.1:$port/health" >/dev/null; do
        sleep 0.1
    done
done

one=(--address=127.0.0.1:7180 --key_file="$work/operator.key")
"$program" make-inventory --site=both >"$work/inventory.json"
"$program" make-rules --site=both >"$work/rules.json"
"$program" publish inventory "$work/inventory.json" --base=0 "${one[@]}"
"$program" publish rules "$work/rules.json" --base=0 "${one[@]}"
"$program" keys grant --team=archive "${one[@]}" >"$work/archive.txt"
field key "$work/archive.txt" >"$work/archive.key"
# Two instances with the rules' revision of the last publication.
until "$program" configuration "${one[@]}" >"$work/configuration.txt" &&
    [ "$(awk 'NR > 1 { print $3, $4 }' "$work/configuration.txt" |
        sort | uniq -c | awk '{ print $1 }')" = 2 ]; do
    sleep 0.1
done
cat "$work/configuration.txt"
for port in 7180 7280; do
    until curl -sf "http://127.0.0.1:$port/ready" >/dev/null; do
        sleep 0.1
    done
done

"$program" submit --id=scan-1 --team=archive --queue=archive-scans --tasks=4 \
    --run_time=500ms --address=127.0.0.1:7180 --key_file="$work/archive.key"
"$program" wait scan-1 --patience=1m --address=127.0.0.1:7280 \
    --key_file="$work/archive.key"
