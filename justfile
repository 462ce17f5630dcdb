# Everything CI runs.
ci:
    .ci/run

# Starts stand-ins and a small fleet in one process and sends queries.
demo:
    cargo run --release --bin wigeonhall -- demo

# Compares the product with the baseline in virtual time.
measure:
    cargo run --release --bin wigeonhall -- measure

# Runs the tests.
test:
    cargo test --workspace
