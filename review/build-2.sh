#!/usr/bin/env bash
# Builds the cases 6 to 10 of the second review, with their stand-ins. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/ ./review/6 ./review/7 ./review/8 ./review/9 ./review/10
