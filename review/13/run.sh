#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 runs it undisturbed.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/review-3/removed_engine ] || exit 2
exec target/review-3/removed_engine review/13
