#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 with the tool chain alone. Needs no network and no dependency.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
mkdir -p "$root/target/review-2"
for source in "$root"/review/standin-2/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2024 -O "$source" -o "$root/target/review-2/$name"
done
