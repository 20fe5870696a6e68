#!/bin/sh
# Runs the case with the programs of the deploy file and the stand-ins of review/build-3.sh. Writes
# record.txt beside this script. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 leaves the disruption out.
folder=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$folder/../.." || exit 2
if [ ! -x target/review-3/review-3 ] || [ ! -x target/release/oriolereel-platform ]; then
    echo "build the programs of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
exec target/review-3/review-3 cancelled "$folder"
