#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15: one program without dependencies.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
rustc --edition 2024 -O -o target/review-3/case review/standin-3/main.rs
