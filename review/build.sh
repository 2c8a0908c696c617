#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-buildvcs=false go test -c -o ../bin/cases .
