#!/usr/bin/env bash
# Runs this case; exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
exec "$(dirname "$0")/../common/run_case.sh" 1
