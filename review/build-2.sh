#!/usr/bin/env bash
# Builds the program that plays the cases 4 to 6, with every stand-in, into
# build-review-2/.
set -euo pipefail
cd "$(dirname "$0")/.."

cmake -S . -B build-review-2 -G Ninja \
  -DCMAKE_PROJECT_egretswitch_INCLUDE="$PWD/review/scene-2/cases.cmake" >build-review-2.log 2>&1 ||
  { cat build-review-2.log; exit 1; }
rm -f build-review-2.log
ninja -C build-review-2 --quiet review_scene_2
