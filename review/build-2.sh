#!/usr/bin/env bash
# Builds the stand-in that the scripts of cases 6 to 10 start. Needs g++ and nlohmann-json3-dev, as the deploy file does.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
g++ -std=c++17 -O1 -Wall -Wextra -pthread review/standin-2/main.cpp -o target/review-2/standin.new
mv target/review-2/standin.new target/review-2/standin
