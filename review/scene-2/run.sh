#!/usr/bin/env bash
# Plays the scene $1 of the case in folder $2. See the case's claim.txt.
set -uo pipefail
scene="$1"
folder="$(cd "$2" && pwd)"
cd "$(dirname "$0")/../.."

program=build-review-2/review_scene_2
daemon=target/egretswitchd
if [ ! -x "$program" ] || [ ! -x "$daemon" ]; then
  echo "run the build of the deploy file and review/build-2.sh first"
  exit 2
fi
directory="$(mktemp -d)"
trap 'rm -rf "$directory"' EXIT
timeout -k 5 115 "$program" "$scene" "$daemon" "$directory" "$folder/record.txt"
status=$?
if [ "$status" -gt 2 ]; then
  status=2
fi
exit "$status"
