#!/usr/bin/env bash
# Builds the stand-ins of the cases of the second review, without a network, into a folder that git ignores.
# The gateway itself is built by the command of deploy/balancer.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
