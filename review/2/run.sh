#!/usr/bin/env bash
# Processes that end by themselves. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
timeout 115 node review/2/case.js &
case=$!
trap 'kill "$case"' TERM INT
wait "$case"
status=$?
if [ "$status" -gt 2 ]; then status=2; fi
exit "$status"
