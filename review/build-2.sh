#!/usr/bin/env bash
# Builds the stand-in of the cases of the second review. Needs rustc only, and no network.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/case review/standin-2/main.rs
