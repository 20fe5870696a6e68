#!/usr/bin/env bash
# Runs a case of the review, and ends all processes that it has started, also if it is interrupted.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/.." && pwd)
PROCESSES=$(mktemp)
export PROCESSES
end() {
  while read -r process; do kill -KILL "$process" 2>/dev/null; done <"$PROCESSES"
  rm -f "$PROCESSES"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 115 "$root/target/review/standin" "$1" "$root" "$here/$1"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
