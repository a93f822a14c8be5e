#!/usr/bin/env bash
# Tutorial 3: kill the entry that owns a job.
#
#   tutorial/03_kill_an_owner.sh    after tools/build.sh; takes about 12 s
#
# A job runs for 3 s. It is sent twice through different entries (the second
# one joins the first), its owner is killed in the middle, and it is sent a
# third time. Every caller that still has an entry gets the same answer, and the
# worker's own record shows each task once.
set -uo pipefail
. "$(dirname "$0")/steps.sh"

step "Start a log service, a worker, three entries and an agent"
begin tutorial-run/03 3 1
write_table "$run_dir/table.csv"
show ctl table put "$run_dir/table.csv" --entry "$(entry_operators 1)"
for entry in 1 2 3; do
  for _ in $(seq 50); do
    [ "$(status_field "$entry" table_version)" = 1 ] && break
    sleep 0.1
  done
done

now=$(date +%s%3N)
job="{\"team\":\"desk\",\"id\":\"a19-$now\",\"kind\":\"check\",\"submitted_ms\":$now,
  \"deadline_ms\":$((now + 12000)),\"tasks\":[{\"payload\":{\"run_ms\":3000,\"echo\":\"first\"}},
  {\"payload\":{\"run_ms\":3000,\"echo\":\"second\"}}]}"
# submit ENTRY FILE: in the background; its id in caller_pid.
submit() {
  curl -sS -m 14 --data "$job" "http://$(entry_callers "$1")/v1/jobs" >"$2" 2>"$2.error" &
  caller_pid=$!
}

step "Submit a job through each entry: it is one job, and two calls join it"
declare -A caller=()
for entry in 1 2 3; do
  submit "$entry" "$run_dir/answer-$entry.json"
  caller[$entry]=$caller_pid
done
owner=""
for _ in $(seq 30); do
  for entry in 1 2 3; do
    [ "$(status_field "$entry" tasks_running)" = 2 ] && owner=$entry
  done
  [ -n "$owner" ] && break
  sleep 0.1
done
check "one entry owns the job and runs its two tasks" test -n "$owner"
[ -n "$owner" ] || finish
echo "   owner: entry-$owner"

step "Kill the owner without warning"
end "entry-$owner" KILL
killed_at=$(date +%s%3N)

step "Submit the same job once more, through an entry that lives"
survivors=()
for entry in 1 2 3; do
  [ "$entry" = "$owner" ] || survivors+=("$entry")
done
submit "${survivors[0]}" "$run_dir/answer-again.json"
again=$caller_pid

step "Wait for the answers"
wait "${caller[$owner]}"
check "the caller at the killed entry has lost its connection" test "$?" -ne 0
for entry in "${survivors[@]}"; do
  wait "${caller[$entry]}"
  check "the caller at entry-$entry was answered" equal "$?" 0
done
wait "$again"
check "so was the one that sent it again" equal "$?" 0
echo "   answered $(($(date +%s%3N) - killed_at)) ms after the kill; the tasks last 3000 ms"
show cat "$run_dir/answer-again.json"
check "it is complete" equal "$(json_field "$run_dir/answer-again.json" status)" complete
for entry in "${survivors[@]}"; do
  check "entry-$entry gave the same answer" cmp -s \
    "$run_dir/answer-$entry.json" "$run_dir/answer-again.json"
done

step "The worker's own record: each task started once"
sleep 0.3 # the stand-in writes its record every 100 ms
show grep '"event":"start"' "$run_dir/worker-1.jsonl"
check "two starts" equal "$(wc -l <"$run_dir/shown")" 2
check "of two different tasks" equal \
  "$(sed -E 's/.*"index":([0-9]+).*/\1/' "$run_dir/shown" | sort -u | wc -l)" 2

step "What the survivors noted"
show grep -hE "entry ended|shards served" "$run_dir/entry-${survivors[0]}.log" "$run_dir/entry-${survivors[1]}.log"
check "the end of entry-$owner was noticed" grep -q "entry ended" "$run_dir/shown"
finish
