#!/bin/sh
# Builds the stand-ins of the scripts of the third review: the store, the workers and the clients are in
# one program. The program under review is built by the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
go build -o target/harness-3 ./review/harness-3
