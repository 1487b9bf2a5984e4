#!/usr/bin/env bash
# Runs the case in the folder $1 with a temporary folder; exits as the case does.
set -u
cd "$(dirname "$0")/../.."
[ -x target/bin/persimmonstair-entry ] && [ -x "review/bin/case$1" ] || exit 2
REVIEW_FOLDER="$(mktemp -d)" || exit 2
export REVIEW_FOLDER
timeout -k 1 "${2:-110}" "review/bin/case$1" "review/$1/record.txt"
code=$?
# A case that was stopped could not end its processes.
if [ $code -gt 1 ] && [ -e "$REVIEW_FOLDER/pids" ]; then
  while read -r pid; do kill -9 "$pid" 2>/dev/null; done <"$REVIEW_FOLDER/pids"
fi
[ -n "${KEEP_LOGS:-}" ] && cp "$REVIEW_FOLDER"/*.log "$KEEP_LOGS"/
rm -rf "$REVIEW_FOLDER"
case $code in 0 | 1) exit $code ;; *) exit 2 ;; esac
