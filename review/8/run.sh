#!/usr/bin/env bash
# Runs the case: exit 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/coltsfootloft ] && [ -x target/review-8 ] || exit 2
timeout -k 1 110 target/review-8
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
