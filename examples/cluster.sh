#!/usr/bin/env bash
# Starts the system as separate processes on loopback, with stand-ins, as described in README.md:
# three control members, two entries, one agent with its target, three workers.
#   examples/cluster.sh              runs until interrupted
#   examples/cluster.sh --measure N  prints memory and CPU usage of each process over N idle seconds
set -euo pipefail
cd "$(dirname "$0")/.."
bin=${BIN:-target/release}
dir=$(mktemp -d)
export ORIOLEREEL_OPERATOR_TOKEN=operator-local
pids=()
names=()
stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  wait
  rm -rf "$dir"
}
trap stop EXIT
run() { local name=$1; shift; "$@" >"$dir/$name.log" 2>&1 & pids+=($!); names+=("$name"); }

members="--member 1=127.0.0.1:7101 --member 2=127.0.0.1:7102 --member 3=127.0.0.1:7103"
control=127.0.0.1:7101,127.0.0.1:7102,127.0.0.1:7103
for id in 1 2 3; do
  $bin/oriolereel init --data "$dir/d$id" --id $id $members >/dev/null
  run control-$id $bin/oriolereel-control --name control-$id --region lombardia --id $id \
    --listen 127.0.0.1:710$id --http 127.0.0.1:718$id --data "$dir/d$id"
done
for n in 0 1; do
  run entry-$n $bin/oriolereel-entry --name entry-$n --region lombardia \
    --http 127.0.0.1:708$n --control $control
done
run agent-1 $bin/oriolereel-agent --name agent-1 --region lombardia \
  --listen 127.0.0.1:7201 --http 127.0.0.1:7301 --control $control
run target-1 $bin/oriolereel standin target --name target-1 --listen 127.0.0.1:7501 \
  --agent 127.0.0.1:7301 --services preview,proof,curing-check,catalogue,gallery
for n in 1 2 3; do
  run lom-1-w$n $bin/oriolereel standin worker --name lom-1-w$n --listen 127.0.0.1:740$n \
    --region lombardia --domain lombardia-a --rack lom-1 --to 127.0.0.1:7301,127.0.0.1:7080
done
export ORIOLEREEL_CONTROL_HTTP=127.0.0.1:7181,127.0.0.1:7182,127.0.0.1:7183
for _try in $(seq 100); do
  $bin/oriolereel apply examples/zucca >/dev/null 2>&1 && break
  sleep 0.2
done
sleep 3
echo "entries: http://127.0.0.1:7080 http://127.0.0.1:7081; control for operators: $ORIOLEREEL_CONTROL_HTTP"
$bin/oriolereel submit --token zucca-bottega-rossi preview '{"gourd": 3}'
if [ "${1:-}" = --measure ]; then
  seconds=${2:-20}
  ticks() { awk '{print $14+$15}' "/proc/$1/stat"; }
  before=()
  for pid in "${pids[@]}"; do before+=("$(ticks "$pid")"); done
  sleep "$seconds"
  for i in "${!pids[@]}"; do
    pid=${pids[$i]}
    rss=$(awk '/VmRSS/{print $2}' "/proc/$pid/status")
    cpu=$(( ($(ticks "$pid") - before[i]) * 100 / seconds ))
    echo "${names[$i]} rss_kb=$rss cpu_hundredths_of_percent=$cpu"
  done
else
  wait
fi
