#!/usr/bin/env bash
# Builds the programs that the scripts of the cases start, with the compiler alone.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.rs; do
    [ -e "$case" ] || continue
    number="$(basename "$(dirname "$case")")"
    rustc --edition 2024 -O -o "target/review/case-$number" "$case"
done
