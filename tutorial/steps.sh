# What the numbered tutorials share: sourced, never run by itself.
#
#   step "Submit one job"; check "the answer is complete" grep -q complete FILE
#   finish
cd "$(dirname "${BASH_SOURCE[0]}")/.."
port_base="${port_base:-27000}"
. tools/deployment.sh

checks_failed=0
step_number=0

step() {
  step_number=$((step_number + 1))
  printf '\n%d. %s\n' "$step_number" "$*"
}

# show COMMAND...: prints the command and its output, which also goes to
# "$run_dir/shown"; returns the command's own status.
show() {
  printf '   $ %s\n' "$*"
  "$@" >"$run_dir/shown" 2>&1
  local status=$?
  sed 's/^/   /' "$run_dir/shown"
  [ -z "$(tail -c 1 "$run_dir/shown")" ] || echo # no newline at the end
  return "$status"
}

# check WHAT COMMAND...: the command must succeed.
check() {
  local what="$1"
  shift
  if "$@"; then
    printf '   ok: %s\n' "$what"
  else
    printf '   WRONG: %s\n' "$what"
    checks_failed=$((checks_failed + 1))
  fi
}

# equal A B: for check.
equal() {
  [ "$1" = "$2" ] && return 0
  printf '   found "%s", expected "%s"\n' "$1" "$2"
  return 1
}

# json_field FILE KEY: one field of a JSON object, strings as they are.
json_field() {
  python3 -c '
import json, sys
value = json.load(open(sys.argv[1]))[sys.argv[2]]
print(value if isinstance(value, str) else json.dumps(value))' "$1" "$2"
}

# status_field ENTRY KEY: one field of the entry's status.
status_field() {
  ctl status --json --entry "$(entry_operators "$1")" 2>/dev/null |
    python3 -c '
import json, sys
print(next(iter(json.load(sys.stdin).values()))[sys.argv[1]])' "$2"
}

# begin NAME ENTRIES WORKERS: starts a deployment and waits until it serves.
begin() {
  deployment_begin "$1"
  local i
  start_log
  for i in $(seq "$3"); do start_worker "$i"; done
  for i in $(seq "$2"); do start_entry "$i"; done
  for i in $(seq "$3"); do start_agent "$i"; done
  for i in $(seq "$2"); do wait_serving "$i" "$3" 12 || exit 1; done
}

# write_table FILE [KIND]: a table with one row, not in force yet.
write_table() {
  printf '%s\n' \
    kind,version,weight,max_running,max_queued,team_rate,retry_percent,prefer_response \
    "${2:-check},0,10,0,1000,0,20,80" >"$1"
}

finish() {
  if [ "$checks_failed" -gt 0 ]; then
    printf '\n%s: %d checks failed; logs are in %s\n' "$0" "$checks_failed" "$run_dir"
    exit 1
  fi
  printf '\n%s: all as told\n' "$0"
}
