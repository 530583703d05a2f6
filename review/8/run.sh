#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
timeout -k 2 118 node case.js
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
