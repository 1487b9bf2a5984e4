#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases of the third review into target/review-3/.
# Needs only the compiler and the JSON library of the deploy file's packages.
set -euo pipefail
shopt -s nullglob
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags=(-std=c++20 -O2 -Wall -Wextra -pthread)
common=()
for it in net record store worker entry client deployment; do
  g++ "${flags[@]}" -c "review/support-3/$it.cpp" -o "$out/$it.o" &
  common+=("$out/$it.o")
done
for job in $(jobs -p); do wait "$job"; done
for it in review/support-3/case_*.cpp; do
  name=$(basename "$it" .cpp)
  g++ "${flags[@]}" "$it" "${common[@]}" -o "$out/$name" &
done
for job in $(jobs -p); do wait "$job"; done
