#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/standin-2 -B target/review-2 -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review-2
