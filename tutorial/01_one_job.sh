#!/usr/bin/env bash
# Tutorial 1: one job through every process of the system.
#
#   tutorial/01_one_job.sh          after tools/build.sh; takes about 8 s
#
# Starts the log stand-in, one worker stand-in, one entry, and one agent beside
# the worker. Submits a job with the tool and another one with curl.
set -uo pipefail
. "$(dirname "$0")/steps.sh"

step "Start a log service, a worker, an entry and an agent"
echo "   An agent accepts starts 4.2 s after its own start (docs/DESIGN.md, rule 7)."
begin tutorial-run/01 1 1
show cat "$run_dir/entry-1.yaml"

step "The entry refuses a kind of work that has no row in the operator table"
show "$bin_dir/egretswitchctl" submit examples/job.json --entry "$(entry_callers 1)"
check "exit code 1: refused" equal "$?" 1
check "the reason is unknown_kind" grep -q unknown_kind "$run_dir/shown"
check "the verdict is: not run" grep -q "not run\|not_run" "$run_dir/shown"

step "Add the row"
kind=$(json_field examples/job.json kind)
write_table "$run_dir/table.csv" "$kind"
show ctl table put "$run_dir/table.csv" --entry "$(entry_operators 1)"
check "exit code 0: accepted" equal "$?" 0

step "Submit the job with the tool"
show "$bin_dir/egretswitchctl" submit examples/job.json --entry "$(entry_callers 1)"
check "exit code 0: complete" equal "$?" 0
check "first output" grep -q "SKF 6204" "$run_dir/shown"
check "second output" grep -q "SKF 6205" "$run_dir/shown"

step "Submit another one with curl"
now=$(date +%s%3N)
job="{\"team\":\"desk\",\"id\":\"a18\",\"kind\":\"$kind\",\"submitted_ms\":$now,
  \"deadline_ms\":$((now + 5000)),\"tasks\":[{\"payload\":{\"run_ms\":50,\"echo\":\"SKF 6206\"}}]}"
show curl -sS -m 8 --data "$job" "http://$(entry_callers 1)/v1/jobs"
cp "$run_dir/shown" "$run_dir/answer.json"
check "status is complete" equal "$(json_field "$run_dir/answer.json" status)" complete

step "The worker's own record has each task once"
sleep 0.3 # the stand-in writes its record every 100 ms
show grep '"event":"start"' "$run_dir/worker-1.jsonl"
check "three starts" equal "$(wc -l <"$run_dir/shown")" 3

step "What the entry knows"
show ctl status --entry "$(entry_operators 1)"
check "exit code 0" equal "$?" 0
finish
