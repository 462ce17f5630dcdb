#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They need no crate but the standard library.
cd "$(dirname "$0")/.." || exit 2
exec cargo build --release --locked --manifest-path review/harness-2/Cargo.toml --target-dir target/review-2
