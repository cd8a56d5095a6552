#!/usr/bin/env bash
# Runs every check of the project: format, vet, staticcheck, tests with the
# race detector, the commands of the pages. Tests listed in KNOWN-RED.txt are
# passed over and printed.
set -euo pipefail
cd "$(dirname "$0")/.."

unformatted=$(gofmt -l .)
if [ -n "$unformatted" ]; then
	echo "gofmt: these files are not formatted:" >&2
	echo "$unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck ./...

skip='^$'
if [ -s KNOWN-RED.txt ]; then
	# A subtest is matched level by level, and alternatives stand at the top.
	names=$(awk '!/^#/ && NF {gsub("/", "$/^", $1); print "^" $1 "$"}' KNOWN-RED.txt | paste -sd'|')
	if [ -n "$names" ]; then
		skip=$names
		echo "known red, not run:"
		grep -v '^#' KNOWN-RED.txt
	fi
fi
go test -race -count=1 -timeout 20m -skip "$skip" ./...
./scripts/pages.sh
