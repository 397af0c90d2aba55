#!/usr/bin/env bash
# Builds the stand-ins and the programs of the cases into target/review. The build of the deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
cmake -S review/harness -B target/review -G Ninja -DCMAKE_BUILD_TYPE=Release >/dev/null
cmake --build target/review
