#!/bin/bash
# Builds what the cases 4 to 8 start: the entry host, by the command of the deploy file, and the
# stand-ins of this review.
set -e
cd "$(dirname "$0")/.."
cargo build --release --locked --offline -p platform
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml \
    --target-dir target/review-2
