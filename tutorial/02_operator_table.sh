#!/usr/bin/env bash
# Tutorial 2: the operator table: edit it, race, read it back.
#
#   tutorial/02_operator_table.sh   after tools/build.sh; takes about 8 s
#
# One row per kind of work. An edit names the version of the row that it was
# made against; of two edits against one version the first in the log wins.
set -uo pipefail
. "$(dirname "$0")/steps.sh"

step "Start a log service, a worker, two entries and an agent"
begin tutorial-run/02 2 1

step "Add a row: version 0 says that it does not exist yet"
write_table "$run_dir/table.csv"
show ctl table put "$run_dir/table.csv" --entry "$(entry_operators 1)"
check "exit code 0" equal "$?" 0
check "the row has version 1" grep -q "check: accepted, version 1" "$run_dir/shown"

step "Read it back from the other entry"
for _ in $(seq 50); do
  [ "$(status_field 2 table_version)" = 1 ] && break
  sleep 0.1
done
show ctl table get --entry "$(entry_operators 2)"
check "weight 10, version 1" grep -q "^check,1,10,0,1000,0,20,80" "$run_dir/shown"
cp "$run_dir/shown" "$run_dir/base.csv"

step "A value out of range is refused before anything is sent"
sed 's/^check,1,10,/check,1,0,/' "$run_dir/base.csv" >"$run_dir/bad.csv"
show ctl table put "$run_dir/bad.csv" --entry "$(entry_operators 1)"
check "exit code 2: user error" equal "$?" 2
check "the message names the column" grep -q weight "$run_dir/shown"

step "Two operators edit the same row at once, each at another entry"
echo "   By curl, so that both edits reach the log; the tool reads the table first"
echo "   and would often see the other's edit before it sends its own."
# edit ENTRY WEIGHT FILE: the HTTP status goes to FILE.status.
edit() {
  curl -sS -m 8 -H "Authorization: Bearer $deployment_token" -o "$3" -w '%{http_code}' \
    --data "{\"expected_version\":1,\"editor\":\"operator-$1\",
      \"row\":{\"kind\":\"check\",\"weight\":$2,\"max_queued\":1000,\"prefer_response\":80}}" \
    "http://$(entry_operators "$1")/table" >"$3.status"
}
edit 1 7 "$run_dir/a.json" &
first=$!
edit 2 9 "$run_dir/b.json" &
second=$!
wait "$first" "$second"
a_status=$(cat "$run_dir/a.json.status")
b_status=$(cat "$run_dir/b.json.status")
printf '   a, weight 7: %s %s\n' "$a_status" "$(cat "$run_dir/a.json")"
printf '   b, weight 9: %s %s\n' "$b_status" "$(cat "$run_dir/b.json")"
check "one was accepted (200), the other refused (409)" equal \
  "$(printf '%s\n' "$a_status" "$b_status" | sort | tr '\n' ' ')" "200 409 "
weight=$([ "$a_status" = 200 ] && echo 7 || echo 9)

step "Both entries have the winner's row, and the history shows both edits"
for entry in 1 2; do
  for _ in $(seq 50); do
    [ "$(status_field "$entry" table_version)" = 2 ] && break
    sleep 0.1
  done
  show ctl table get --entry "$(entry_operators "$entry")"
  check "weight $weight, version 2" grep -q "^check,2,$weight," "$run_dir/shown"
done
show "$bin_dir/egretswitchctl" table history --log "127.0.0.1:$log_port"
check "exit code 0" equal "$?" 0
check "two edits took effect" equal "$(grep -c accepted "$run_dir/shown")" 2
check "one lost its race" equal "$(grep -c superseded "$run_dir/shown")" 1

step "A file of the old version shows the conflict; a fresh one takes effect"
sed 's/^check,1,10,/check,1,4,/' "$run_dir/base.csv" >"$run_dir/old.csv"
show ctl table diff "$run_dir/old.csv" --entry "$(entry_operators 1)"
check "exit code 1: there is a difference" equal "$?" 1
check "the row was changed underneath" grep -q '^!' "$run_dir/shown"
show ctl table put "$run_dir/old.csv" --entry "$(entry_operators 1)"
check "exit code 1: refused" equal "$?" 1
ctl table get --entry "$(entry_operators 1)" | sed -E 's/^(check,2),[0-9]+/\1,5/' >"$run_dir/fresh.csv"
show ctl table put "$run_dir/fresh.csv" --entry "$(entry_operators 1)"
check "accepted, version 3" grep -q "check: accepted, version 3" "$run_dir/shown"

step "With the log service down an edit is refused, and the table stays"
control "$log_port" '{"mode":"down"}'
sed -E 's/^(check),2,5/\1,3,6/' "$run_dir/fresh.csv" >"$run_dir/down.csv"
sleep 0.5
show ctl table put "$run_dir/down.csv" --entry "$(entry_operators 1)"
check "the edit is not accepted (exit code is not 0)" test "$?" -ne 0
show ctl table get --entry "$(entry_operators 1)"
check "still weight 5, version 3" grep -q "^check,3,5," "$run_dir/shown"
control "$log_port" '{"mode":"up"}'
finish
