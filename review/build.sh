#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts: one program, review/build/scenario. It needs g++ and nlohmann-json3-dev,
# which the build of the deploy file installs as well.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++17 -O1 -Wall -Wextra -pthread standin/main.cpp -o build/scenario
