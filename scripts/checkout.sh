#!/usr/bin/env bash
# Builds the daemon for the platform in a clean checkout of the last commit and
# checks that the program runs there.
set -euo pipefail
cd "$(dirname "$0")/.."
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
git clone --quiet . "$dir/checkout"
cd "$dir/checkout"
make --silent system
target/samphireturnd --version
# Without its settings file the program must say so and exit with 2.
status=0
SAMPHIRETURN_SETTINGS="$dir/missing" target/samphireturnd --platform --check 2>/dev/null || status=$?
[ "$status" -eq 2 ] || { echo "exit code $status instead of 2"; exit 1; }
