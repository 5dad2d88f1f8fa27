#!/usr/bin/env bash
# Builds the stand-ins and the drivers of the cases into target/review. Needs a C++20 compiler and nothing else; the
# program itself is built by the deploy file's command.
set -euo pipefail
cd "$(dirname "$0")/.."
command -v g++ > /dev/null || { echo "review/build.sh: g++ is missing" >&2; exit 2; }
mkdir -p target/review
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
g++ "${flags[@]}" review/standin/host.cpp -o target/review/host &
pids=($!)
for source in review/[0-9]/case.cpp; do
  [ -e "$source" ] || continue
  number=$(basename "$(dirname "$source")")
  g++ "${flags[@]}" "$source" -o "target/review/case-$number" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
echo "built in target/review"
