#!/usr/bin/env bash
# Builds every stand-in that the scripts of the second review start. Needs no network and no library.
set -euo pipefail
cd "$(dirname "$0")/.."
cargo build --release --locked --offline --manifest-path review/standins-2/Cargo.toml --target-dir target/review-2
