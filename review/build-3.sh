#!/bin/sh
# Builds the stand-ins and clients that the scripts of review/11 to review/15 start.
set -eu
cd "$(dirname "$0")/harness-3"
unset CARGO_TARGET_DIR
cargo build --release --locked --offline || cargo build --release --locked
