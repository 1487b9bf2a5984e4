#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the
# disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
program=target/review-3/case_$(basename "$here")
[ -x target/bin/persimmonstair-entry ] && [ -x "$program" ] || exit 2
timeout -k 2 115 "$program" "$here/record.txt"
result=$?
[ "$result" -le 1 ] && exit "$result"
exit 2
