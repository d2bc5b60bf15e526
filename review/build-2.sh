#!/bin/sh
# Builds the stand-ins of cases 6 to 10 with the standard library alone, into target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in drill memory topup founding ends; do
    rustc -O --edition 2024 -o "target/review-2/$name" "review/standin-2/$name.rs"
done
