#!/usr/bin/env bash
# Builds the stand-ins and scripts of the third review into target/review-3/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -o target/review-3/ ./review/standins-3/...
