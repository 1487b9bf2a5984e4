#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for folder in [1-5]; do
  [ -e "$folder/case.cpp" ] || continue
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -I common "$folder/case.cpp" -o "bin/new$folder"
  mv "bin/new$folder" "bin/case$folder"
done
