#!/bin/sh
# Plays the case; see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
program=review/harness-3/target/release/review-harness-3
[ -x "$program" ] && [ -x target/release/wigeonhall-node ] || exit 2
exec "$program" odd-memory review/15
