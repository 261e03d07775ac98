#!/usr/bin/env bash
# Builds the stand-ins of the review's cases, after the build of the deploy file. Needs no network.
set -eu
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review cargo build --release --locked --offline --manifest-path review/standins/Cargo.toml
