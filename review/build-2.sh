#!/bin/bash
# Builds the stand-ins of the scripts of the second review into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for main in [6-9]/main.cc 10/main.cc; do
    [ -f "$main" ] || continue
    case=${main%/main.cc}
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/case-$case" "$main" -pthread
done
