#!/usr/bin/env bash
# Runs a fault of the second review that is shown but no case, run-more-2.sh tokens or run-more-2.sh field, like a case.
# The record is written to target/review-2.
set -u
cd "$(dirname "$0")/.." || exit 2
[ -x target/packages/daemon/camphorknotd ] && [ -x target/review-2/cases ] || exit 2
export TROUBLE=${TROUBLE:-1}
exec target/review-2/cases "$1" "target/review-2/$1.txt"
