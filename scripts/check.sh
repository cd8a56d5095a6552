#!/usr/bin/env bash
# Runs every check of the project: gofmt, go vet, staticcheck, the tests with the
# race detector, and the commands in the documentation. Tests listed in
# KNOWN-RED.txt are skipped and printed.
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
	# go test matches -skip level by level, split at slashes, and alternatives can
	# only stand at the top level.
	names=$(awk '!/^#/ && NF {gsub("/", "$/^", $1); print "^" $1 "$"}' KNOWN-RED.txt | paste -sd'|')
	if [ -n "$names" ]; then
		skip=$names
		echo "known failures, not run:"
		grep -v '^#' KNOWN-RED.txt
	fi
fi
# The tests of crowds measure the memory and the descriptors of a process, so they run by
# themselves.
go test -race -count=1 -timeout 20m -skip "$skip|^TestCrowd" ./...
go test -count=1 -timeout 20m -run '^TestCrowd' -skip "$skip" ./soak/processes
./scripts/pages.sh
