#!/usr/bin/env bash
# Builds what the scripts of the cases start beside the programs of the deploy file: one program with
# the stand-ins for minions, clients, the operator and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
g++ -std=c++20 -O1 -Wall -Wextra -pthread review/harness/cases.cpp -o target/review/cases
