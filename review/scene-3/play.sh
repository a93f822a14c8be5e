#!/usr/bin/env bash
# Plays a case with the program of the deploy file: play.sh CASE RECORD
set -u
record="$(realpath "$2")"
cd "$(dirname "$0")/../.." || exit 2
program=build-review-3/review_scene_3
if [ ! -x "$program" ] || [ ! -x target/egretswitchd ]; then
  echo "build target/egretswitchd and run review/build-3.sh first" >&2
  exit 2
fi
timeout -k 1 115 "$program" "$1" target/egretswitchd "$record"
status=$?
case "$status" in
  0 | 1) exit "$status" ;;
  *) exit 2 ;;
esac
