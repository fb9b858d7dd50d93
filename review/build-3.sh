#!/usr/bin/env bash
# Builds the programs that the scripts of review/11 to review/15 start, into target/review-3/. The deploy file's build
# must have run before: the scripts start target/lagoonferry.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
compile=${CXX:-c++}
$compile -std=c++20 -O1 -pthread -c review/standins-3/rig.cpp -o "$out/rig.o"
for source in review/standins-3/*.cpp; do
    name=$(basename "$source" .cpp)
    [ "$name" = rig ] && continue
    $compile -std=c++20 -O1 -pthread "$source" "$out/rig.o" -o "$out/$name"
done
