#!/usr/bin/env bash
# Runs the case with the number $1; exits with 1 if the rule was broken, 0 if it held, 2 if the case
# couldn't run or was stopped.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/persimmonstair-entry ] && [ -x "target/review-2/case-$1" ] || exit 2
TMPDIR="$(mktemp -d)" || exit 2
export TMPDIR
timeout -k 1 118 "target/review-2/case-$1"
code=$?
# A case that was stopped could not end its processes.
if [ $code -gt 1 ]; then
  cat "$TMPDIR"/*/pids 2>/dev/null | while read -r pid; do kill -9 "$pid" 2>/dev/null; done
fi
rm -rf "$TMPDIR"
[ $code -le 1 ] && exit $code
exit 2
