#!/bin/sh
# Builds the stand-ins that the scripts of this folder start. Needs no network: the only
# dependency, serde_json, is one of the project's own and has been fetched by its build.
set -eu
cd "$(dirname "$0")/harness"
cargo build --release --locked --offline
