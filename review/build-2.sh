#!/usr/bin/env bash
# Builds the stand-ins and cases of the second review: review/second as target/review2. It needs the
# Go toolchain only, no network.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review2 -o target/review2 ./review/second
