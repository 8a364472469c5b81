#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target/review -j 6
