#!/bin/sh
# Builds what the scripts of the cases 6 to 10 start beside the programs of the deploy file: one
# program that plays the platform's store, the runners and the clients. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/_standin2
