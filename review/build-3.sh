#!/bin/bash
# Builds the stand-ins of the cases 11 to 15; needs the Rust compiler only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/harness-3 review/harness-3/main.rs
