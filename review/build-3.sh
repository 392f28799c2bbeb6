#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, into target/review-3/bin. Run it
# after the build of the deploy file: it links the libraries that this build leaves in target/, so that
# nothing but the packages of the deploy file is needed.
set -euo pipefail
cd "$(dirname "$0")/.."

libraries=()
for area in net runtime core; do
    library=target/src/hawthornstall/$area/libhawthornstall_$area.a
    [ -f "$library" ] || { echo "$library is missing: run the build of deploy/system.toml first" >&2 && exit 1; }
    libraries+=("$library")
done
packages=(libevent libevent_pthreads libxxhash absl_statusor absl_status absl_failure_signal_handler
    absl_stacktrace absl_symbolize)
mkdir -p target/review-3/bin
# shellcheck disable=SC2046
g++ -std=c++20 -O2 -I. -Isrc platform/standin/main.cpp platform/standin/worker_model.cpp \
    "${libraries[@]}" $(pkg-config --cflags --libs "${packages[@]}") -lgflags -pthread \
    -o target/review-3/bin/platform-standin-worker

# The program of case 11 uses the stand-ins of the second review beside its own.
for source in http record minion deployment; do
    g++ -std=c++20 -O1 -Wall -Wextra -c "review/harness-2/$source.cpp" -o "target/review-3/$source.o" &
done
wait
g++ -std=c++20 -O1 -Wall -Wextra review/harness-3/lost_holder.cpp review/harness-3/late_minion.cpp \
    target/review-3/{http,record,minion,deployment}.o -pthread -o target/review-3/bin/lost_holder
