#!/usr/bin/env bash
# Builds the stand-ins and the player of the second review's cases. They use only the standard library, so no network is
# needed.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --quiet --manifest-path review/stand-ins-2/Cargo.toml --target-dir target/review-2
