#!/usr/bin/env bash
# Builds the stand-ins and drivers of the cases under review/ into target/review, without a network.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --offline --locked --manifest-path review/harness/Cargo.toml --target-dir target/review
