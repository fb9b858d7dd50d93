#!/usr/bin/env bash
# Builds the stand-ins of the cases. The deploy file's build must have run before: it makes the library of the project,
# whose definitions the stand-ins need too.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
libraries="-llog4cxx -lsodium -lpthread"
objects=()
pids=()
for source in review/standins/*.cpp tests/soak/soak_store.cpp tests/soak/http_test_server.cpp; do
    object=target/review/$(basename "$source" .cpp).o
    objects+=("$object")
    g++ -std=c++20 -O1 -DBOOST_ASIO_DISABLE_AWAITABLE_FRAME_RECYCLING -I. -Isrc -Itests/soak -c "$source" -o "$object" &
    pids+=($!)
done
for pid in "${pids[@]}"; do
    wait "$pid"
done
g++ "${objects[@]}" target/liblagoonferry_core.a $libraries -o target/review/lab
