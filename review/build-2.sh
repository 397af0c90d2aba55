#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/review-2. The build of the deploy file comes
# first; it installs what this needs as well.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
flags=(-std=c++20 -O1 -pthread -include cmake/asio_prelude.hpp -DBOOST_ASIO_NO_DEPRECATED
  -DBOOST_BEAST_USE_STD_STRING_VIEW -Wno-mismatched-new-delete -Iplatform/tests -Ireview/harness-2)
sources=(platform/tests/standins/store_standin.cpp
  platform/tests/standins/caller_standin.cpp review/harness-2/server.cc review/harness-2/stage.cc review/harness-2/cases.cc)
objects=()
pids=()
for source in "${sources[@]}"; do
  object=$out/$(basename "${source%.*}").o
  objects+=("$object")
  g++ "${flags[@]}" -c "$source" -o "$object" &
  pids+=($!)
done
for pid in "${pids[@]}"; do wait "$pid"; done
g++ -pthread "${objects[@]}" -o "$out/cases"
