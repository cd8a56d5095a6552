#!/usr/bin/env bash
# Runs the commands in documentation pages as written: every fenced block marked
# "sh" in the pages given as arguments (default: README.md, docs/API.md and
# docs/OPERATIONS.md), against one site of endivedev. The blocks of a page share
# one shell, which stops at the first command that fails.
set -euo pipefail
cd "$(dirname "$0")/.."
pages=("$@")
if [ ${#pages[@]} -eq 0 ]; then
	pages=(README.md docs/API.md docs/OPERATIONS.md)
fi
readonly start_tries=150 # of 0.2 s
readonly page_timeout=180 # seconds

make -s build
work=$(mktemp -d)
./bin/endivedev --serve >"$work/site" 2>"$work/site.err" &
site=$!
finish() {
	kill "$site" 2>/dev/null || true
	wait "$site" 2>/dev/null || true
	rm -rf "$work"
}
trap finish EXIT

for ((try = 0; try < start_tries; try++)); do
	if grep -q '^export SCHEDULER_ADMIN=' "$work/site"; then
		break
	fi
	if ! kill -0 "$site" 2>/dev/null; then
		break
	fi
	sleep 0.2
done
if ! grep -q '^export SCHEDULER_ADMIN=' "$work/site"; then
	echo "pages: the site did not start" >&2
	cat "$work/site" "$work/site.err" >&2
	exit 1
fi

# curl fails on a response with an HTTP error status, and so does its page.
cat >"$work/prelude" <<'PRELUDE'
set -euo pipefail
curl() { command curl --fail-with-body --max-time 30 "$@"; }
PRELUDE
grep '^export ' "$work/site" >>"$work/prelude"
echo "export ENDIVE_AUTHOR=pages PATH=$PWD/bin:\$PATH" >>"$work/prelude"

failed=0
for page in "${pages[@]}"; do
	name=$(echo "$page" | tr '/' '_')
	mkdir "$work/$name"
	{
		cat "$work/prelude"
		# Pages use file names relative to the root of the repository; each page
		# runs in its own directory with links to them, and writes its files there.
		echo "cd '$work/$name'"
		echo "ln -s '$PWD'/* ."
		awk '/^```sh$/ {inside = 1; next} /^```/ {inside = 0} inside' "$page"
	} >"$work/$name.sh"
	commands=$(awk '/^```sh$/ {inside = 1; next} /^```/ {inside = 0} inside && NF && !/^#/ && !/^  /' "$page" | wc -l)
	if timeout "$page_timeout" bash -x "$work/$name.sh" >"$work/$name.out" 2>&1; then
		echo "pages: $page: $commands commands ran"
	else
		echo "pages: $page: failed; last 30 lines of its output:" >&2
		tail -n 30 "$work/$name.out" >&2
		failed=1
	fi
done
exit "$failed"
