#!/usr/bin/env bash
# Builds what the cases need: the daemon as the deploy file builds it, into
# target/, and the cases' stand-ins, into target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B target -G Ninja -DCMAKE_BUILD_TYPE=Release
cmake --build target --target egretswitchd
cmake -S . -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_egretswitch_INCLUDE="$PWD/review/inject.cmake"
cmake --build target/review --target review_case
