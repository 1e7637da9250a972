#!/bin/sh
# Builds what the scripts start, from the root of the repository: the stand-ins, which need the standard library only, and
# the gatekeeper in service, as deploy/balancer.toml builds it (deploy/system.toml does not).
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2021 -O -o target/review/standin review/standin/main.rs
cargo build --release --locked || cargo build --release --locked --offline
