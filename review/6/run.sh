#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/case_6
[ -x "$program" ] && [ -x target/release/dragonflycartd ] || exit 2
timeout --kill-after=2 110 "$program" "$PWD" "$PWD/review/6/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
