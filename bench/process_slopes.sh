#!/usr/bin/env bash
# Memory and processor time of idle real processes as agents are added, on
# loopback: one log stand-in, one worker stand-in, some entries, and agents.
#
#   bench/process_slopes.sh                 # 2 entries; 11, 22, 44, 88 agents
#   entries=3 agents="11 22 33 44" seconds=10 bench/process_slopes.sh
#
# Prints a JSON object with one list item for each number of agents. Processor
# time is that of the whole process from /proc/PID/stat over `seconds`, memory
# from /proc/PID/smaps_rollup. All agents share one worker stand-in; no job is
# submitted. It ends every process that it started.
set -uo pipefail
cd "$(dirname "$0")/.."
port_base="${port_base:-31000}"
bin_dir="${bin_dir:-build}"
entries="${entries:-2}"
agents="${agents:-11 22 44 88}"
seconds="${seconds:-10}"
source tools/deployment.sh

# All agents talk to worker 1.
worker_port() { echo "$((port_base + 3001))"; }

# Memory that one process has for itself, and its share of what it maps with
# others, in KiB: "rss pss private".
memory_of() {
  awk '/^Rss:/ {rss = $2} /^Pss:/ {pss = $2}
       /^Private_(Clean|Dirty):/ {private += $2}
       END {print rss, pss, private}' "/proc/$1/smaps_rollup"
}

# User and system time so far, in clock ticks.
ticks_of() {
  sed 's/^.*) //' "/proc/$1/stat" | awk '{print $12 + $13}'
}

# A counter of the process's metrics page, 0 when it has none of that name.
counter_of() {
  curl -sS -m 5 "http://$1/metrics" 2>/dev/null |
    awk -v name="$2" '$1 == name {value = $2} END {print value + 0}'
}

# Size of the reply that the operators' tool reads for `status`.
status_bytes() {
  curl -sS -m 5 -H "Authorization: Bearer $deployment_token" \
    "http://$(entry_operators 1)/status" | wc -c
}

median() {
  sort -n | awk '{v[NR] = $1}
    END {low = v[int((NR + 1) / 2)]; high = v[int(NR / 2) + 1]; print (low + high) / 2}'
}

# measure ROLE NUMBERS...: medians over the processes of one role, as JSON.
measure() {
  local role="$1" number pid rss pss private
  shift
  declare -A before sent_before
  for number in "$@"; do
    before[$number]=$(ticks_of "${pid_of[$role-$number]}")
    sent_before[$number]=$(counter_of "$("${role}_operators" "$number")" \
      egretswitch_messages_sent_total)
  done
  sleep "$seconds"
  : >"$run_dir/cpu" >"$run_dir/rss" >"$run_dir/pss" >"$run_dir/private" >"$run_dir/sent"
  for number in "$@"; do
    pid="${pid_of[$role-$number]}"
    echo $(($(ticks_of "$pid") - before[$number])) |
      awk -v hz="$(getconf CLK_TCK)" -v s="$seconds" '{print $1 / hz / s * 100}' >>"$run_dir/cpu"
    read -r rss pss private < <(memory_of "$pid")
    echo "$rss" >>"$run_dir/rss"
    echo "$pss" >>"$run_dir/pss"
    echo "$private" >>"$run_dir/private"
    echo $(($(counter_of "$("${role}_operators" "$number")" \
      egretswitch_messages_sent_total) - sent_before[$number])) |
      awk -v s="$seconds" '{print $1 / s}' >>"$run_dir/sent"
  done
  printf '{"cpu_percent": %s, "rss_kib": %s, "pss_kib": %s, "private_kib": %s, "messages_sent_a_second": %s}' \
    "$(median <"$run_dir/cpu")" "$(median <"$run_dir/rss")" \
    "$(median <"$run_dir/pss")" "$(median <"$run_dir/private")" \
    "$(median <"$run_dir/sent")"
}

deployment_begin "${run_dir:-slopes-run}"
start_log
start_worker 1
sleep 0.5
for number in $(seq "$entries"); do start_entry "$number"; done
sleep 1
started=0
separator=""
echo '{"entries": '"$entries"', "seconds": '"$seconds"', "load_average": "'"$(cut -d' ' -f1 /proc/loadavg)"'", "points": ['
for wanted in $agents; do
  while [ "$started" -lt "$wanted" ]; do
    started=$((started + 1))
    start_agent "$started"
  done
  wait_serving 1 "$wanted" 60 || exit 1
  sleep 2
  printf '%s{"agents": %s, "status_bytes": %s, "entry": %s, "agent": %s}\n' "$separator" \
    "$wanted" "$(status_bytes)" "$(measure entry $(seq "$entries"))" "$(measure agent 1 2 3 4 5 6 7 8 9 10 11)"
  separator=", "
done
echo ']}'
