#!/bin/bash
# Builds the stand-ins of all scripts into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for main in [1-9]/main.cc; do
    case=${main%/main.cc}
    g++ -std=c++20 -O1 -Wall -Wextra -o "build/case-$case" "$main" -pthread
done
