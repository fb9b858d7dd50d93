#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the freeze and the kill out.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-2/budget_after_loss
[ -x target/lagoonferry ] && [ -x "$program" ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -s KILL 115 "$program" "$folder" review/10/record.txt
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
