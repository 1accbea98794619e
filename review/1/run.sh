#!/usr/bin/env bash
# Plays the case "removed" of the review with real processes on loopback. Exits with 1 if the
# rule was broken, 0 if it held and 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Build with the line of deploy/system.toml and review/build.sh first.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
for program in target/limpetrelay target/review-harness; do
  [ -x "$program" ] || { echo "$program is missing: build it first" >&2; exit 2; }
done
exec target/review-harness -case removed -record "$here/record.txt"
