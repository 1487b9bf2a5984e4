#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases 6 to 10 into target/review-2. Needs only g++.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
build() { g++ -std=c++20 -O2 -Wall -Wextra -Werror -pthread "$@"; }
for name in standins deployment; do
  build -c "review/support-2/$name.cpp" -o "target/review-2/$name.o" &
done
wait
for n in 6 7 8 9 10; do
  [ -e "review/$n/case.cpp" ] || continue
  build "review/$n/case.cpp" target/review-2/standins.o target/review-2/deployment.o \
    -o "target/review-2/case-$n"
done
