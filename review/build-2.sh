#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10 into review/build/. They use the C++ standard library and sockets only.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for it in 6 7 8 9 10; do
    [ -f "$it/case.cc" ] || continue
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "build/case-$it" "$it/case.cc"
done
