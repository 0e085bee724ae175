#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. The daemon is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc -O --edition 2021 -o target/review-2/stand-in review/stand-in-2/main.rs
