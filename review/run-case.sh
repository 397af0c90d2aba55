#!/usr/bin/env bash
# Runs the program of one case, run-case.sh NUMBER, or of a fault in found/, run-case.sh quota and run-case.sh quiet. The
# settings and logs of the instances are in a temporary folder.
set -u
cd "$(dirname "$0")/.." || exit 2
number=$1
program=target/packages/daemon/camphorknotd
case=target/review/review_case_$number
record_folder=review/$number
case $number in [!0-9]*) case=target/review/review_found_$number record_folder=review/found ;; esac
[ -x "$program" ] && [ -x "$case" ] || { echo "build first: the build line of the deploy file, then review/build.sh"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
TROUBLE=${TROUBLE-1} timeout 118 "$case" "$program" "$record_folder" "$folder"
code=$?
[ -z "${KEEP_LOGS-}" ] || cp -r "$folder" "$KEEP_LOGS"
[ "$code" -le 1 ] && exit "$code"
exit 2
