# Functions that start and end the processes of a local deployment, for the demo
# and the benchmarks: sourced, never run by itself.
#
#   deployment_begin DIRECTORY; start_log; start_worker 1; start_entry 1 ...
#
# Every process is known by its id in pid_of[NAME] and ended by that id.
bin_dir="${bin_dir:-build}"
port_base="${port_base:-21000}"
log_port=$((port_base + 1))
deployment_key=demo-shared-key-of-the-deployment
deployment_token=demo-operator-token
declare -A pid_of=()

# Address part "ip:port" of each process by its number.
entry_link() { echo "127.0.0.1:$((port_base + 100 + $1))"; }
entry_callers() { echo "127.0.0.1:$((port_base + 200 + $1))"; }
entry_operators() { echo "127.0.0.1:$((port_base + 300 + $1))"; }
agent_link() { echo "127.0.0.1:$((port_base + 1000 + $1))"; }
agent_operators() { echo "127.0.0.1:$((port_base + 2000 + $1))"; }
worker_port() { echo "$((port_base + 3000 + $1))"; }
# Data centres 1 to 3, in turn.
data_centre() { echo "dc-$((($1 - 1) % 3 + 1))"; }

deployment_begin() {
  run_dir="$1"
  rm -rf "$run_dir"
  mkdir -p "$run_dir"
  printf '%s\n' "$deployment_token" >"$run_dir/token"
  trap deployment_end EXIT
}

# Ends what still runs: asked first, then not asked.
deployment_end() {
  trap - EXIT
  local name tries
  for name in "${!pid_of[@]}"; do
    kill -CONT "${pid_of[$name]}" 2>/dev/null
    kill -TERM "${pid_of[$name]}" 2>/dev/null
  done
  for tries in $(seq 50); do
    any_running || break
    sleep 0.1
  done
  for name in "${!pid_of[@]}"; do
    kill -KILL "${pid_of[$name]}" 2>/dev/null
  done
  wait 2>/dev/null
}

any_running() {
  local name
  for name in "${!pid_of[@]}"; do
    kill -0 "${pid_of[$name]}" 2>/dev/null && return 0
  done
  return 1
}

# start NAME COMMAND...: output to NAME.log in the run directory.
start() {
  local name="$1"
  shift
  "$@" >>"$run_dir/$name.log" 2>&1 &
  pid_of[$name]=$!
}

# end NAME SIGNAL: signals the process; after KILL it is no longer known.
end() {
  kill "-$2" "${pid_of[$1]}"
  if [ "$2" = KILL ]; then
    wait "${pid_of[$1]}" 2>/dev/null
    unset "pid_of[$1]"
  fi
}

start_log() {
  start log "$bin_dir/log_service_stand_in" --port "$log_port"
}

start_worker() {
  start "worker-$1" "$bin_dir/worker_stand_in" --name "worker-$1" \
    --port "$(worker_port "$1")" --slots "${slots:-8}" \
    --record "$run_dir/worker-$1.jsonl"
}

write_common_settings() {
  cat <<YAML
role: $1
name: $2
data_centre: $(data_centre "$3")
region: region-1
listen: $4
shared_key: $deployment_key
operator:
  listen: $5
  token: $deployment_token
log_service:
  url: http://127.0.0.1:$log_port
YAML
}

start_entry() {
  local file="$run_dir/entry-$1.yaml"
  {
    write_common_settings entry "entry-$1" "$1" "$(entry_link "$1")" "$(entry_operators "$1")"
    printf 'callers:\n  listen: %s\n' "$(entry_callers "$1")"
  } >"$file"
  start "entry-$1" "$bin_dir/egretswitchd" "$file"
}

start_agent() {
  local file="$run_dir/agent-$1.yaml"
  {
    write_common_settings agent "agent-$1" "$1" "$(agent_link "$1")" "$(agent_operators "$1")"
    printf 'worker:\n  url: http://127.0.0.1:%s\n  slots: %s\n' "$(worker_port "$1")" "${slots:-8}"
    printf '  millicores: 64000\n  memory_mb: 131072\n'
  } >"$file"
  start "agent-$1" "$bin_dir/egretswitchd" "$file"
}

# control URL-PORT JSON: a request to a stand-in's control call.
control() {
  curl -sS -m 5 -X POST --data "$2" "http://127.0.0.1:$1/control" >/dev/null
}

ctl() {
  "$bin_dir/egretswitchctl" "$@" --token-file "$run_dir/token"
}

# Waits until entry $1 serves with $2 workers linked, $3 seconds at most.
wait_serving() {
  local tries
  for tries in $(seq $(($3 * 10))); do
    if ctl status --json --entry "$(entry_operators "$1")" 2>/dev/null |
      python3 -c '
import json, sys
status = next(iter(json.load(sys.stdin).values()))
sys.exit(not (status["may_start_tasks"] and status["workers_linked"] >= '"$2"'
              and status["slots_free"] > 0))' 2>/dev/null; then
      return 0
    fi
    sleep 0.1
  done
  echo "entry-$1 does not serve after $3 s" >&2
  return 1
}

# Messages sent between the system's own processes, over all that still run.
count_messages() {
  local total=0 count address
  for address in "$@"; do
    count=$(curl -sS -m 5 "http://$address/metrics" 2>/dev/null |
      sed -nE 's/^egretswitch_messages_sent_total ([0-9.e+]+)$/\1/p')
    total=$((total + ${count:-0}))
  done
  echo "$total"
}
