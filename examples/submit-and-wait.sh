#!/usr/bin/env bash
# Submits a batch job and waits for it. Needs ACACIASTILE_KEY and, where it is
# not the default, the address as the first argument.
set -euo pipefail
program=${ACACIASTILE:-build/release/acaciastile}
address=${1:-127.0.0.1:7080}
id=scan-$(date +%s)
"$program" submit --address="$address" --id="$id" --team=archive \
    --queue=archive-scans --tasks=4 --processors=1 --memory=512MiB \
    --run_time=500ms
"$program" wait "$id" --address="$address" --patience=1m
