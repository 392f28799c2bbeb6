#!/usr/bin/env bash
# Builds the programs of the scripts of cases 6 to 10, with their stand-ins, into target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-2/parts
parts=()
for name in http record minion deployment; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "review/harness-2/$name.cpp" -o "target/review-2/parts/$name.o" &
    parts+=("target/review-2/parts/$name.o")
done
wait
for source in review/harness-2/scripts/*.cpp; do
    g++ -std=c++20 -O1 -Wall -Wextra "$source" "${parts[@]}" -pthread \
        -o "target/review-2/$(basename "$source" .cpp)"
done
