#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. They use the standard library
# only, so no registry is needed.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standins-2/{case,extra}_*.rs; do
  name=$(basename "$source" .rs)
  rustc --edition 2024 -O -o "target/review-2/$name" "$source"
done
