#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review, with the packages of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O2 -g -Wall -Wextra -pthread -Ireview $(pkg-config --cflags jsoncpp))
compilers=()
for source in review/standins/*.cpp; do
    g++ "${flags[@]}" -c "$source" -o "$out/$(basename "$source" .cpp).o" &
    compilers+=($!)
done
for compiler in "${compilers[@]}"; do
    wait "$compiler"
done
for case_source in review/[0-9]/case.cpp; do
    [ -e "$case_source" ] || continue
    number=$(basename "$(dirname "$case_source")")
    g++ "${flags[@]}" "$case_source" "$out"/*.o -o "$out/case-$number" $(pkg-config --libs jsoncpp)
done
echo "built $(ls "$out" | grep -c '^case-') case program(s) in $out"
