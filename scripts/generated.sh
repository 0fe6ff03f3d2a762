#!/usr/bin/env bash
# Runs the generators and checks that the committed output is up to date.
set -euo pipefail
cd "$(dirname "$0")/.."
before=$(git status --porcelain)
go generate ./...
after=$(git status --porcelain)
if [ "$before" != "$after" ]; then
	echo "generated files are stale; run go generate ./... and commit:"
	diff <(printf '%s\n' "$before") <(printf '%s\n' "$after") || true
	exit 1
fi
