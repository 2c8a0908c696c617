#!/usr/bin/env bash
# Builds what the scripts review/6 to review/10 start beside the programs of the deploy file: the
# project's stand-in of the platform's store, and the clients and engines of these cases.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/ ./cmd/baobab-standin ./review/tools-2
