#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It expects the build of the
# deploy file to have run.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-harness ./review/harness
