#!/bin/sh
# Builds the stand-ins that the cases start. Needs no network and no dependency.
set -e
cd "$(dirname "$0")/.."
cargo build --release --offline --manifest-path review/standins/Cargo.toml --target-dir target/review
