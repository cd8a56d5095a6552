#!/usr/bin/env bash
# Builds the stand-ins of the scripts: clients, runners and the platform's store, in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/_standin
