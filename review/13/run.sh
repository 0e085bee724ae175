#!/bin/sh
# Case 13. After the deploy file's build and review/build-3.sh. TROUBLE=0: without the disruption.
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
test -x target/release/hemlockcrank && test -x target/review-3/stand-in || exit 2
exec target/review-3/stand-in partial "$folder"
