#!/usr/bin/env bash
# Two instances and one stand-in platform on loopback: publishes the samples,
# submits at one instance, asks at the other, then shuts everything down.
set -euo pipefail
cd "$(dirname "$0")/.."
program=$PWD/build/release/acaciastile
work=$(mktemp -d)
pids=()
finish() {
    for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${pids[@]}"; do wait "$pid" || true; done
    rm -rf "$work"
}
trap finish EXIT

"$program" keys make first --output=json >"$work/key.json"
python3 - "$work" <<'PY' || exit 1
import json, re, sys
work = sys.argv[1]
made = json.load(open(f"{work}/key.json"))
open(f"{work}/key", "w").write(made["key"])
for number in (1, 2):
    text = re.sub(r"(?m)^//.*$", "", open(f"examples/entry-{number}.json").read())
    settings = json.loads(text)
    settings["operators"] = made["operators"]
    json.dump(settings, open(f"{work}/entry-{number}.json", "w"))
PY

"$program" platform --site=both \
    --entries=entry-1@almaty-1@127.0.0.1:7181,entry-2@almaty-2@127.0.0.1:7281 &
pids+=($!)
for number in 1 2; do
    "$program" serve "$work/entry-$number.json" 2>"$work/entry-$number.log" &
    pids+=($!)
done
one="--address=127.0.0.1:7180 --key_file=$work/key"
other="--address=127.0.0.1:7280"
until curl -sf http://127.0.0.1:7180/ready >/dev/null &&
    curl -sf http://127.0.0.1:7280/ready >/dev/null; do sleep 0.2; done

"$program" make-inventory --site=both >"$work/inventory.json"
"$program" make-rules --site=both >"$work/rules.json"
"$program" publish inventory "$work/inventory.json" --base=0 $one
"$program" publish rules "$work/rules.json" --base=0 $one
"$program" keys grant --team=archive $one --output=json >"$work/team.json"
python3 -c "import json;print(json.load(open('$work/team.json'))['key'])" \
    >"$work/team"
"$program" submit --id=scan-1 --team=archive --queue=archive-scans --tasks=4 \
    --run_time=500ms --address=127.0.0.1:7180 --key_file="$work/team"
"$program" wait scan-1 $other --key_file="$work/team" --patience=1m
