#!/usr/bin/env bash
# Installs, builds and runs a whole deployment on this machine: log service and
# workers as stand-ins, 3 entries, 11 workers of 8 slots with an agent beside
# each, in 3 data centres; two kinds of load; and meanwhile faults.
#
#   tools/demo.sh [--seconds N] [--seed N] [--no-faults]
#
# The last line counts what must never happen, from the callers' and the
# workers' own records; the exit status is non-zero when any of it did.
set -uo pipefail
cd "$(dirname "$0")/.."

seconds=30
seed=1
faults=1
while [ $# -gt 0 ]; do
  case "$1" in
    --seconds) seconds="$2"; shift ;;
    --seed) seed="$2"; shift ;;
    --no-faults) faults=0 ;;
    --help) sed -n '2,10p' "$0" | sed 's/^# \{0,1\}//'; exit 0 ;;
    *) echo "user error: unknown option $1" >&2; exit 2 ;;
  esac
  shift
done
if [ "$seconds" -gt 45 ]; then
  echo "user error: --seconds: found $seconds, allowed 1 to 45" >&2
  exit 2
fi

tools/install.sh && tools/build.sh || exit 1
. tools/deployment.sh

entries=3
workers=11
began=$SECONDS
say() { printf '[%3d s] %s\n' "$((SECONDS - began))" "$*"; }

deployment_begin demo-run
start_log
for i in $(seq $workers); do start_worker "$i"; done
for i in $(seq $entries); do start_entry "$i"; done
for i in $(seq $workers); do start_agent "$i"; done
say "started: log service, $entries entries, $workers workers with an agent each"
for i in $(seq $entries); do wait_serving "$i" $workers 15 || exit 1; done
ctl table put examples/table.csv --entry "$(entry_operators 1)" >/dev/null || exit 1
sleep 0.5
say "serving; the operator table is in force"

caller_entries=$(for i in $(seq $entries); do printf '%s,' "$(entry_callers "$i")"; done)
caller_entries=${caller_entries%,}
load_pids=()
for profile in order_desk listings; do
  "$bin_dir/load" --entries "$caller_entries" --profile "$profile" --team "$profile" \
    --utilisation 0.3 --bursts 1 --seconds "$seconds" --seed "$seed" \
    --record "$run_dir/callers-$profile.jsonl" >"$run_dir/load-$profile.log" 2>&1 &
  load_pids+=($!)
done
say "two loads run for $seconds s: order desk and listings, 30% of the slots each, with a burst"

# Two operators edit the same row at once; the log decides.
race_edits() {
  ctl table get -o "$run_dir/race.csv" --entry "$(entry_operators 2)" >/dev/null
  sed -E 's/^(pricing,[0-9]+),[0-9]+/\1,7/' "$run_dir/race.csv" >"$run_dir/race-a.csv"
  sed -E 's/^(pricing,[0-9]+),[0-9]+/\1,9/' "$run_dir/race.csv" >"$run_dir/race-b.csv"
  ctl table put "$run_dir/race-a.csv" --entry "$(entry_operators 2)" >"$run_dir/race-a.out" 2>&1 &
  local first=$!
  ctl table put "$run_dir/race-b.csv" --entry "$(entry_operators 3)" >"$run_dir/race-b.out" 2>&1 &
  local second=$!
  wait $first $second
  say "two operators edited the row pricing: $(grep -h pricing "$run_dir"/race-?.out | tr '\n' ';')"
}

# Each fault at its share of the run.
run_faults() {
  local step
  step=$(python3 -c "print($seconds / 8)")
  sleep "$step"; race_edits
  sleep "$step"; end entry-1 KILL; say "killed entry-1"
  sleep "$step"; end agent-2 KILL; say "killed agent-2; its worker runs on"
  sleep "$step"; end entry-2 STOP; say "froze entry-2"
  start_agent 2; say "started agent-2 anew"
  sleep "$step"; end entry-2 CONT; say "entry-2 goes on"
  control "$log_port" '{"mode":"down"}'; say "log service down"
  sleep "$step"; control "$log_port" '{"mode":"up"}'; say "log service up"
  start_entry 1; say "started entry-1 anew"
}

if [ "$faults" = 1 ]; then
  run_faults
fi
for pid in "${load_pids[@]}"; do wait "$pid"; done
say "loads ended: $(cat "$run_dir"/load-*.log | grep '^load: jobs' | tr '\n' ';')"

addresses=()
for i in $(seq $entries); do addresses+=("$(entry_operators "$i")"); done
for i in $(seq $workers); do addresses+=("$(agent_operators "$i")"); done
messages=$(count_messages "${addresses[@]}")
sleep 0.3 # the workers write their records every 100 ms
if [ "$faults" = 1 ]; then
  messages=0 # a killed process took its counts along
fi
worker_records=$(printf '%s,' "$run_dir"/worker-*.jsonl)
caller_records=$(printf '%s,' "$run_dir"/callers-*.jsonl)
"$bin_dir/load_report" --callers "${caller_records%,}" --workers "${worker_records%,}" \
  --messages "$messages"
