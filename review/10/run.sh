#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/release/wigeonhall-review-2
[ -x "$program" ] && [ -x target/release/wigeonhall-node ] || exit 2
exec "$program" popular review/10/record.txt
