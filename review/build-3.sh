#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/7 to review/11.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S . -B build-review-3 -G Ninja -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_PROJECT_egretswitch_INCLUDE="$PWD/review/scene-3/scene.cmake" >/dev/null
cmake --build build-review-3 --target review_scene_3
