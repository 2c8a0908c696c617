#!/usr/bin/env bash
# Builds what the scripts review/11 to review/15 start beside the programs of the deploy file: the
# stand-ins and clients of the third review. It needs no network. The build tag and the module of their
# own keep them out of every other run of tests.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
cd review/standins-3
GOFLAGS=-buildvcs=false go test -c -trimpath -tags review -o ../../target/review-3/cases .
