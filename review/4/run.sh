#!/bin/sh
# Shows the case of claim.txt: exits with 1 if the rule was broken, 0 if it held, 2 if the case
# could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
folder=$PWD
NODE_PROGRAM=$(cd ../.. && pwd)/target/release/wigeonhall-node
REVIEW_TMP=$(mktemp -d) || exit 2
export NODE_PROGRAM REVIEW_TMP
timeout -k 5 110 ../harness/target/release/review-harness paged-list "$folder" >"$REVIEW_TMP/out" 2>&1
code=$?
rm -rf "$REVIEW_TMP"
case $code in
0 | 1) exit $code ;;
*) exit 2 ;;
esac
