#!/bin/bash
# Builds the stand-ins of the second review's cases, one program a case, into review/rig-2/bin. Needs the compiler of
# the deploy file's build alone.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p rig-2/bin
flags="-std=c++20 -O1 -g -Wall -Wextra -pthread"
${CXX:-g++} $flags -c rig-2/rig.cpp -o rig-2/bin/rig.o
for case in 6 7 8 9 10; do
    [ -f "$case/case.cpp" ] || continue
    ${CXX:-g++} $flags "$case/case.cpp" rig-2/bin/rig.o -o "rig-2/bin/case-$case"
done
