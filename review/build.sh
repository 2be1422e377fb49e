#!/bin/sh
# Builds the stand-ins of all cases with the standard library alone.
set -e
cd "$(dirname "$0")"
mkdir -p bin
for source in standin/case_*.rs; do
    name=$(basename "$source" .rs)
    rustc --edition 2021 -O -o "bin/$name" "$source"
done
