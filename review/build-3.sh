#!/usr/bin/env bash
# Builds the stand-ins of the third review's scripts into target/. The daemons are built by the
# deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-3 ./review/_standin3
