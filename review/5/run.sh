#!/usr/bin/env bash
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 leaves the disruption out; the program reads it from its environment.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/hemlockcrank ] && [ -x target/review/case-5 ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec target/review/case-5 review/5/record.txt
