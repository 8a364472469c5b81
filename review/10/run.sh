#!/usr/bin/env bash
# Plays the case `slivers` (claim.txt beside this file). Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Needs the build of deploy/system.toml and review/build-2.sh.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program=$root/target/acaciastile
stand_in=$root/target/review-2/review-2
if [ ! -x "$program" ] || [ ! -x "$stand_in" ]; then
    echo "not built: $program or $stand_in"
    exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
timeout 115 "$stand_in" slivers "$program" "$root" "$scratch" \
    "$folder/record.txt"
status=$?
[ "$status" -le 2 ] || status=2
exit "$status"
