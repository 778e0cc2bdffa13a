#!/usr/bin/env bash
# Plays case 6 (claim.txt). TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
# Ends with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/release/limehollow-vm ] && [ -x target/review-2/release/review-2 ] || exit 2
timeout --kill-after=2 110 target/review-2/release/review-2 storm target/release/limehollow-vm review/6/record.txt
code=$?
[ "$code" -le 1 ] || exit 2
exit "$code"
