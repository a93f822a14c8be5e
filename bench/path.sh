#!/usr/bin/env bash
# Measures the whole path with real processes on this machine: 3 entries, 11
# workers of 8 slots, no-op tasks. Prints, for each of 5 runs, the task starts a
# second with jobs of 100 tasks (64 jobs at once), and the response time of jobs
# of one task sent one after the other; then processor time and memory.
#
#   tools/build.sh && bench/path.sh      # about a minute, ends by itself
set -uo pipefail
cd "$(dirname "$0")/.."
. tools/deployment.sh

runs=5
deployment_begin path-run
start_log
for i in $(seq 11); do start_worker "$i"; done
for i in 1 2 3; do start_entry "$i"; done
for i in $(seq 11); do start_agent "$i"; done
for i in 1 2 3; do wait_serving "$i" 11 15 || exit 1; done
ctl table put examples/table.csv --entry "$(entry_operators 1)" >/dev/null || exit 1
sleep 1
entries="$(entry_callers 1),$(entry_callers 2),$(entry_callers 3)"

# Processor time of process $1 in ticks of 10 ms.
ticks() { awk '{print $14 + $15}' "/proc/${pid_of[$1]}/stat"; }

# load ARGUMENTS: one closed-loop run of no-op jobs, without second sendings.
no_op_load() {
  "$bin_dir/load" --entries "$entries" --profile no_op --duplicates 0 \
    --record "$run_dir/callers.jsonl" "$@" 2>/dev/null
}

print_times() {
  python3 - "$run_dir/callers.jsonl" <<'P'
import json, sys
jobs = [json.loads(line) for line in open(sys.argv[1])]
times = sorted(job["response_ms"] for job in jobs if job["outcome"] == "complete")
at = lambda share: times[min(len(times) - 1, int(share * len(times)))]
print(f"one task at a time: jobs={len(jobs)} answered={len(times)} "
      f"p50_ms={at(0.5):.2f} p99_ms={at(0.99):.2f}")
P
}

for run in $(seq $runs); do
  no_op_load --tasks 1 --in-flight 1 --seconds 2 --seed "$run" >/dev/null
  print_times
done
entry_before=$(ticks entry-1)
agent_before=$(ticks agent-1)
total=0
for run in $(seq $runs); do
  line=$(no_op_load --tasks 100 --in-flight 64 --seconds 4 --seed "$run")
  echo "$line"
  total=$((total + $(sed -nE 's/.*tasks_answered=([0-9]+).*/\1/p' <<<"$line")))
done
python3 -c "
entry = ($(ticks entry-1) - $entry_before) * 10000 / ($total / 3)
agent = ($(ticks agent-1) - $agent_before) * 10000 / ($total / 11)
print(f'processor time a task start: entry {entry:.1f} us, agent {agent:.1f} us')"
for name in entry-1 agent-1; do
  echo "$name $(grep VmRSS "/proc/${pid_of[$name]}/status" | tr -s '\t ' ' ')"
done
