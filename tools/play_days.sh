#!/usr/bin/env bash
# Plays each day of deploy/days on a site and prints a line for each:
#
#   tools/play_days.sh BENCH SITE [SEED]
#
# BENCH is the path of the users' bench, SITE that of a site file.
set -uo pipefail
cd "$(dirname "$0")/.."

bench="$1"
site="$2"
seed="${3:-1}"
broken=0
for day in deploy/days/*.toml; do
  name=$(basename "$day" .toml)
  out=$("$bench" run "$site" "$day" --seed "$seed" --why "own day: $name" 2>&1)
  # Some kinds of trouble are open on some sites only.
  if grep -q 'is not open' <<<"$out"; then
    echo "$name: not open on this site"
    continue
  fi
  line=$(grep -A1 '^day  ' <<<"$out" | tail -n 1)
  rules=$(grep -E 'RULE broken|^[A-Z]{4,} ' <<<"$out" | head -n 3 | tr '\n' ';')
  ended=$(grep -E 'ended by itself' <<<"$out" | head -n 1)
  if [ -n "$rules$ended" ] || [ -z "$line" ]; then
    broken=$((broken + 1))
  fi
  echo "${line:-$name gave no result: $(tail -n 2 <<<"$out" | tr '\n' ' ')} $rules $ended"
done
echo "own days: $broken with a rule broken or no result"
[ "$broken" -eq 0 ]
