#!/usr/bin/env bash
# Installs what is missing, builds, and passes the tests. The last line is
# "N passed, N failed", counting single test cases.
#
#   tools/test.sh              the tests
#   tools/test.sh --sanitize   the tests twice: address and undefined behaviour,
#                              then threads
#
# A test that KNOWN-RED.txt names ("program/case: cause, issue") may fail; it is
# printed and left out of both counts.
set -uo pipefail
cd "$(dirname "$0")/.."

tools/install.sh || exit 1

passed=0
failed=0

# Runs the test program $1 of build directory $2 and adds to the counts.
run_program() {
  local program="$1" directory="$2"
  local log="$directory/$program.log"
  "$directory/$program" --log_level=test_suite --color_output=no >"$log" 2>&1
  local status=$?
  local case_names
  # "Leaving test case" ends each case; an error line names the case it is in.
  mapfile -t case_names < <(sed -nE 's/.*Leaving test case "([^"]+)".*/\1/p' "$log")
  mapfile -t failed_names < <(sed -nE 's/.*(fatal )?error: in "([^"]+)".*/\2/p' "$log" | sed 's#.*/##' | sort -u)
  local red=0 bad=0 name
  for name in "${failed_names[@]}"; do
    if [ -f KNOWN-RED.txt ] && grep -qF "$program/$name:" KNOWN-RED.txt; then
      echo "known red: $(grep -F "$program/$name:" KNOWN-RED.txt)"
      red=$((red + 1))
    else
      echo "FAILED: $program/$name"
      bad=$((bad + 1))
    fi
  done
  # A crash, or no case at all, is a failure of its own.
  if [ "$status" -ne 0 ] && [ "${#failed_names[@]}" -eq 0 ]; then
    echo "FAILED: $program ended with status $status"
    bad=$((bad + 1))
  elif [ "${#case_names[@]}" -eq 0 ]; then
    echo "FAILED: $program ran no test case"
    bad=$((bad + 1))
  fi
  if [ "$bad" -gt 0 ]; then
    tail -n 40 "$log"
  fi
  local good=$((${#case_names[@]} - bad - red))
  if [ "$good" -lt 0 ]; then
    good=0
  fi
  printf '%-28s %4d passed %3d failed\n' "$program" "$good" "$bad"
  passed=$((passed + good))
  failed=$((failed + bad))
}

run_all() {
  local sanitizers="$1" directory=build
  if [ -n "$sanitizers" ]; then
    directory="build-${sanitizers//,/-}"
  fi
  tools/build.sh "$sanitizers" || { echo "build failed"; failed=$((failed + 1)); return; }
  local program
  for program in $(cd "$directory" && ctest -N | sed -nE 's/.*Test +#[0-9]+: (.*)/\1/p'); do
    run_program "$program" "$directory"
  done
}

if [ "${1:-}" = "--sanitize" ]; then
  run_all address,undefined
  run_all thread
else
  run_all ""
fi
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
