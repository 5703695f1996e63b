#!/bin/sh
# Builds the stand-ins of the review: executors, the store and callers. No dependencies.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/review-standin review/standin/main.rs
