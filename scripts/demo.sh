#!/usr/bin/env bash
# Starts one small cell for each example user as separate processes on loopback,
# runs their work for DEMO_SECONDS, kills one daemon of each cell on the way, and
# fails if work was lost or doubled, a VM overloaded or a caller misinformed. Needs
# the binaries in bin/ (make build). With DEMO_KEEP=1 the logs are kept.
set -euo pipefail
cd "$(dirname "$0")/.."

seconds=${DEMO_SECONDS:-20}
daemons=${DEMO_DAEMONS:-5}
seed=${DEMO_SEED:-1}
kill_after=4 # s after the start of the load
bin=$PWD/bin
dir=$(mktemp -d)
pids=()

# Ends every process that this script started, by id.
finish() {
  local status=$?
  trap - EXIT
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait_or_kill "$pid"; done
  if [ "$status" -ne 0 ] || [ -n "${DEMO_KEEP:-}" ]; then
    echo "logs: $dir"
  else
    rm -rf "$dir"
  fi
  exit "$status"
}
trap finish EXIT
trap 'exit 130' INT TERM

# Waits for a process that was told to end, and kills it after 3 s.
wait_or_kill() {
  for _ in $(seq 30); do
    kill -0 "$1" 2>/dev/null || return 0
    sleep 0.1
  done
  kill -9 "$1" 2>/dev/null || true
}

# run NAME COMMAND... starts a process; its output goes to NAME.out and NAME.err.
run() {
  local name=$1
  shift
  "$@" >"$dir/$name.out" 2>"$dir/$name.err" &
  last_pid=$!
  pids+=("$last_pid")
  disown "$last_pid"
}

# line NAME PREFIX prints the first line of NAME's output with the prefix.
line() {
  for _ in $(seq 150); do
    if grep -m1 "^$2" "$dir/$1.out" 2>/dev/null; then return 0; fi
    sleep 0.1
  done
  echo "$1 printed no line \"$2\":" >&2
  tail -n 20 "$dir/$1.err" >&2
  return 1
}

# field LINE NAME prints VALUE of NAME=VALUE.
field() {
  local word
  for word in $1; do
    case $word in "$2"=*) echo "${word#"$2"=}"; return 0 ;; esac
  done
  return 1
}

# start_daemon CELL NUMBER REGION DATA_CENTRE LOG VMS
start_daemon() {
  local name=$1-entry-$2
  cat >"$dir/$name.jsonc" <<EOF
{
	"name": "$name", "region": "$3", "data_centre": "$4",
	"listen": {"caller": "127.0.0.1:0", "peer": "127.0.0.1:0", "admin": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	"log_url": "$5", "vm_list_url": "$6",
	"drain_delay": "1s",
}
EOF
  run "$name" "$bin/briarproxyd" run --settings "$dir/$name.jsonc"
}

# start_cell USER WORKERS MILLI_CORES MEMORY_MIB OPERATIONS REGION/DC... starts a cell
# with two racks in each region and adds it to cells and to victims.
start_cell() {
  local user=$1 workers=$2 cores=$3 memory=$4 operations=$5
  shift 5
  local places=("$@") racks="" log vms operation flags=() urls="" metrics=() ids=() text place i
  for operation in $operations; do flags+=(--operation "$operation"); done
  for place in "${places[@]}"; do racks+=",$place/r1,$place/r2"; done
  run "$user-log" "$bin/standin" logservice
  log=http://$(line "$user-log" listening | cut -d' ' -f2)
  run "$user-workers" "$bin/standin" workers --count "$workers" --per-rack $(((workers + 5) / 6)) \
    --racks "${racks#,}" --prefix "$user-" --trusting \
    --milli-cores "$cores" --memory-mib "$memory" --journal "$dir/$user.journal" --vm-list "$dir/$user.vms" "${flags[@]}"
  line "$user-workers" ready >/dev/null
  run "$user-vms" "$bin/standin" vmlist --file "$dir/$user.vms"
  vms=http://$(line "$user-vms" listening | cut -d' ' -f2)
  "$bin/briarctl" publish --log "$log" --author demo "examples/$user" >"$dir/$user-publish.out"
  for i in $(seq "$daemons"); do
    place=${places[$(((i - 1) % 3))]}
    start_daemon "$user" "$i" "${place%/*}" "${place#*/}" "$log" "$vms"
    ids+=("$last_pid")
  done
  for i in $(seq "$daemons"); do
    text=$(line "$user-entry-$i" listening)
    urls+=",http://$(field "$text" caller)"
    metrics+=("http://$(field "$text" metrics)")
  done
  "$bin/demo" wait "${metrics[@]}"
  cells+=(--cell "$user,$dir/$user.journal$urls")
  victims+=("${ids[1]}")
  echo "$user: $daemons daemons, $workers workers in 3 regions, configuration $(tail -n 1 "$dir/$user-publish.out")"
}

cells=()
victims=()
start_cell inspectors 18 64000 262144 "survey=400 certificate=300 doorstep=100" doto/kushiro dohoku/asahikawa doo/hakodate
start_cell cooperative 48 32000 65536 "certify=500 quote=50 wear-review=3000" gaspesie/gaspe monteregie/saint-jean saguenay/chicoutimi

# start_platform_daemon NUMBER STORE ADVICE starts a daemon on the users' platform.
start_platform_daemon() {
  local name=platform-entry-$1
  cat >"$dir/$name.jsonc" <<EOF
{
	"name": "$name", "region": "doto", "data_centre": "kushiro",
	"listen": {"callers": "127.0.0.1:0", "ready": "127.0.0.1:0", "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0"},
	"platform": {"store": "$2", "advice": "$3", "machines": ""},
	"limits": {"memory_mib": 256, "descriptors": 4096},
	"bounds": {"max_lease_ms": 6000, "failover_ms": 3000, "early_ms": 250, "stop_ms": 900, "grace_s": 6, "status_s": 120, "keep_s": 300, "revoke_ms": 3000},
}
EOF
  run "$name" "$bin/briarproxyd" serve --settings "$dir/$name.jsonc"
}

# callers_of NAME prints the callers' address in the first line of a daemon's log.
callers_of() {
  for _ in $(seq 150); do
    if grep -m1 '"event":900' "$dir/$1.out" 2>/dev/null | sed 's/.*"callers":"\([^"]*\)".*/\1/' | grep .; then return 0; fi
    sleep 0.1
  done
  return 1
}

run platform "$bin/standin" platform --workers 18
platform_pid=$last_pid
text=$(line platform listening)
platform_ids=()
platform_callers=()
for i in 1 2 3; do
  start_platform_daemon "$i" "$(field "$text" store)" "$(field "$text" advice)"
  platform_ids+=("$last_pid")
done
for i in 1 2 3; do platform_callers+=("$(callers_of "platform-entry-$i")"); done
echo "users' platform: 3 daemons, 18 workers"

"$bin/demo" warm "${cells[@]}"
echo "every daemon answers; sending work for $seconds s"
"$bin/demo" "${cells[@]}" --duration "${seconds}s" --seed "$seed" &
demo=$!
pids+=("$demo")
"$bin/demo" platform "${platform_callers[@]}" --operator "$(field "$text" operator)" --duration "${seconds}s" --seed "$seed" &
platform_demo=$!
pids+=("$platform_demo")
sleep "$kill_after"
for pid in "${victims[@]}"; do kill -9 "$pid"; done
kill -9 "${platform_ids[0]}"
echo "killed daemon 2 of each cell, and daemon 1 on the users' platform, after $kill_after s"
wait "$platform_demo"
kill "$platform_pid"
wait_or_kill "$platform_pid"
line platform "ended " | grep -q "problems=0" || { tail -n 3 "$dir/platform.err"; exit 1; }
wait "$demo"
