#!/bin/bash
# Builds the stand-ins of the review's cases into review/bin. Needs the compiler of the deploy file's build alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
    ${CXX:-g++} -std=c++20 -O1 -g -Wall -Icommon -pthread "$source" -o "bin/case${source%%/*}" &
done
status=0
for job in $(jobs -p); do wait "$job" || status=1; done
exit $status
