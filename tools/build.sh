#!/usr/bin/env bash
# Builds into build/ (or build-NAME/ for a sanitizer): tools/build.sh [SANITIZERS]
set -euo pipefail
cd "$(dirname "$0")/.."

sanitizers="${1:-}"
directory=build
if [ -n "$sanitizers" ]; then
  directory="build-${sanitizers//,/-}"
fi
cmake -G Ninja -B "$directory" -DEGRETSWITCH_SANITIZE="$sanitizers" -DEGRETSWITCH_WERROR=ON >"$directory.log" 2>&1 ||
  { cat "$directory.log"; exit 1; }
rm -f "$directory.log"
ninja -C "$directory" --quiet
