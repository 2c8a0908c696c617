#!/usr/bin/env bash
# Builds what the scripts review/6 to review/10 start beside the programs of the deploy file: the
# project's stand-in of the platform's store, and the clients and engines of these cases. It needs no
# network. The build tag and the module of their own keep these out of every other run of tests.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./cmd/baobab-standin
cd review/standins-2
GOFLAGS=-buildvcs=false go test -c -trimpath -tags review -o ../../target/review-2/cases .
