#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. It needs no network. The build tag keeps them out
# of every run of tests that does not name it.
set -euo pipefail
cd "$(dirname "$0")/standins"
GOFLAGS=-buildvcs=false go test -c -trimpath -tags review -o ../bin/cases .
