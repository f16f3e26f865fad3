#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts, which need only the standard library.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -o target/review/standins review/standins/main.rs
