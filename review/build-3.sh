#!/bin/sh
# Builds the stand-ins that the scripts of cases 11 to 15 start. No dependencies, no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -A dead_code -o target/review-3/review-3 review/standin-3/main.rs
