#!/usr/bin/env bash
# Runs every tutorial, one after the other: each checks what it shows. Needs the
# programs in build/ (tools/build.sh). Exit status 1 when one failed.
#
#   tutorial/run_all.sh
set -uo pipefail
cd "$(dirname "$0")/.."

failed=0
for script in tutorial/[0-9]*.sh; do
  began=$SECONDS
  if output=$("$script" 2>&1); then
    echo "$script: passed in $((SECONDS - began)) s"
  else
    printf '%s\n' "$output"
    echo "$script: FAILED after $((SECONDS - began)) s"
    failed=1
  fi
done
exit "$failed"
