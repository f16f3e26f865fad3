#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
program=target/review-3/case-11
if [ ! -x "$program" ] || [ ! -x target/release/dragonflycartd ]; then
  echo "build the deploy file and review/build-3.sh first" >&2
  exit 2
fi
timeout --kill-after=1 115 "$program"
status=$?
case $status in 0 | 1) exit $status ;; *) exit 2 ;; esac
