#!/usr/bin/env bash
# Shows for each protection that a named test turns red without it. Each patch
# in test/mutants/ takes one protection away; its head names the test:
#
#   # Caught by: PROGRAM/TEST_CASE
#
# The test is run without the patch, where it must pass, and with it, where it
# must fail. All of it happens in scratch copies of the tree.
#
#   tools/check_proofs.sh              every mutant
#   tools/check_proofs.sh 032 settle   those whose names contain 032 or settle
#   tools/check_proofs.sh -j 2         with 2 copies at a time (4)
#   tools/check_proofs.sh --list       only prints what each one takes away
#
# One line a mutant; the last line is "mutants: N caught, M missed".
set -uo pipefail
cd "$(dirname "$0")/.." || exit 1

copies=4
list_only=0
wanted=()
while [ $# -gt 0 ]; do
  case "$1" in
    -j) copies="${2:-}"; shift ;;
    --list) list_only=1 ;;
    --help) sed -n '2,15p' "$0" | sed 's/^# \{0,1\}//'; exit 0 ;;
    -*) echo "user error: unknown option $1" >&2; exit 2 ;;
    *) wanted+=("$1") ;;
  esac
  shift
done
[[ "$copies" =~ ^[1-9][0-9]?$ ]] ||
  { echo "user error: -j: found $copies, allowed 1 to 99" >&2; exit 2; }

# A hanging mutant is ended after this time, and counts as missed.
readonly seconds_for_a_case=60
# What Boost.Test exits with when a test has failed.
readonly test_failure=201

is_wanted() {
  [ "${#wanted[@]}" -eq 0 ] && return 0
  local part
  for part in "${wanted[@]}"; do
    [[ "$(basename "$1")" == *"$part"* ]] && return 0
  done
  return 1
}

patches=()
for patch in test/mutants/*.patch; do
  is_wanted "$patch" && patches+=("$PWD/$patch")
done
[ "${#patches[@]}" -gt 0 ] || { echo "user error: no such mutant" >&2; exit 2; }
if [ "$list_only" -eq 1 ]; then
  for patch in "${patches[@]}"; do
    printf '%s\n' "$(basename "$patch" .patch)"
    sed -nE '/^---/q; s/^# /    /p' "$patch"
  done
  exit 0
fi
[ "$copies" -le "${#patches[@]}" ] || copies="${#patches[@]}"

# caught_by PATCH: "PROGRAM CASE"
caught_by() { sed -nE 's|^# Caught by: ([^/]+)/(.+)$|\1 \2|p' "$1" | head -n 1; }

scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
export CCACHE_NOHASHDIR=1

# The checkout's own files as they are now: it may change while this runs.
readonly unpatched="$scratch/unpatched"
mkdir "$unpatched"
git ls-files -z | while IFS= read -r -d '' file; do
  [ -e "$file" ] && printf '%s\0' "$file"
done | xargs -0 cp --parents -t "$unpatched"

# make_copy NUMBER: a copy that is configured in its build/.
make_copy() {
  local tree="$scratch/$1"
  cp -r "$unpatched" "$tree"
  cmake -G Ninja -S "$tree" -B "$tree/build" -DCMAKE_BUILD_TYPE=Debug \
    -DCMAKE_CXX_FLAGS_DEBUG=-O0 >"$tree/log" 2>&1
}

# build NUMBER JOBS PROGRAM...
build() {
  local tree="$scratch/$1" jobs="$2"
  shift 2
  CCACHE_BASEDIR="$tree" ninja -C "$tree/build" -j "$jobs" "$@" >"$tree/log" 2>&1
}

# run_case NUMBER PROGRAM CASE
run_case() {
  timeout "$seconds_for_a_case" "$scratch/$1/build/$2" "--run_test=*/$3" \
    >"$scratch/$1/log" 2>&1
}

# Tells "caught" or why not, for one patch in copy NUMBER.
judge() {
  local number="$1" patch="$2" tree="$scratch/$1" program name status
  read -r program name <<<"$(caught_by "$patch")"
  if [ -z "$name" ]; then
    echo "names no test"
  elif grep -qxF "$program/$name" "$scratch/not_green"; then
    echo "$program/$name does not pass without the patch"
  elif ! patch -d "$tree" -p1 -s --no-backup-if-mismatch <"$patch" >"$tree/log" 2>&1; then
    echo "does not apply"
  elif ! build "$number" 2 "$program"; then
    echo "does not build"
  else
    run_case "$number" "$program" "$name"
    status=$?
    if [ "$status" -eq "$test_failure" ]; then
      echo "caught"
    else
      echo "$program/$name ended with status $status"
    fi
  fi
}

# restore NUMBER PATCH: the files that the patch names, as they were.
restore() {
  local file
  sed -nE 's|^\+\+\+ b/(.*)$|\1|p' "$2" | while read -r file; do
    cp "$unpatched/$file" "$scratch/$1/$file"
    rm -f "$scratch/$1/$file.rej" "$scratch/$1/$file.orig"
  done
}

# Judges every copies'th patch in copy NUMBER.
judge_share() {
  local number="$1" i verdict name
  for ((i = number; i < ${#patches[@]}; i += copies)); do
    name=$(basename "${patches[i]}" .patch)
    verdict=$(judge "$number" "${patches[i]}")
    restore "$number" "${patches[i]}"
    if [ "$verdict" = caught ]; then
      echo "caught $name by $(caught_by "${patches[i]}" | tr ' ' '/')"
    else
      echo "MISSED $name: $verdict"
    fi
  done
}

mapfile -t programs < <(for patch in "${patches[@]}"; do
  caught_by "$patch" | cut -d' ' -f1
done | sort -u)
mapfile -t tests < <(for patch in "${patches[@]}"; do caught_by "$patch"; done | sort -u)

# The first copy fills the compiler's cache for the others.
make_copy 0 && build 0 "$copies" "${programs[@]}" ||
  { tail -n 30 "$scratch/0/log"; echo "mutants: 0 caught, ${#patches[@]} missed"; exit 1; }
: >"$scratch/not_green"
for test in "${tests[@]}"; do
  read -r program name <<<"$test"
  run_case 0 "$program" "$name" || echo "$program/$name" >>"$scratch/not_green"
done

for ((number = 0; number < copies; ++number)); do
  {
    [ "$number" -eq 0 ] || { make_copy "$number" && build "$number" 1 "${programs[@]}"; }
    judge_share "$number"
  } >"$scratch/verdicts-$number" &
done
wait
sort -k2 "$scratch"/verdicts-*
caught=$(cat "$scratch"/verdicts-* | grep -c '^caught ')
missed=$((${#patches[@]} - caught))
echo "mutants: $caught caught, $missed missed"
[ "$missed" -eq 0 ]
