#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/stand-ins-2 review/stand-ins-2.rs
