#!/usr/bin/env bash
# Runs case 10, see claim.txt. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/harness-2 10 review/10
