#!/usr/bin/env bash
# Runs the tests. A failure passes only if KNOWN-RED.txt lists its test; those
# are printed. A listed test that passes, a build failure or a crash fails.
set -euo pipefail
cd "$(dirname "$0")/.."
log=$(mktemp)
trap 'rm -f "$log"' EXIT
status=0
make test 2>&1 | tee "$log" || status=$?
known=$(grep -oE '^test: *[A-Za-z0-9_/]+' KNOWN-RED.txt 2>/dev/null | sed 's/^test: *//' | sort -u || true)
failed=$(grep -oE '^--- FAIL: [^ ]+' "$log" | sed 's/^--- FAIL: //' | sort -u || true)
if [ "$status" -eq 0 ]; then
	[ -z "$known" ] && exit 0
	echo "KNOWN-RED.txt lists tests that pass now; remove them:"
	echo "$known"
	exit 1
fi
if grep -qE '^(panic:|fatal error:)|\[(build|setup) failed\]|WARNING: DATA RACE|^FAIL.*timed out' "$log"; then
	echo "a test program did not build or crashed"
	exit 1
fi
unlisted=$(comm -13 <(printf '%s\n' "$known") <(printf '%s\n' "$failed") | grep . || true)
if [ -z "$failed" ] || [ -n "$unlisted" ]; then
	echo "failed and not in KNOWN-RED.txt:"
	echo "$unlisted"
	exit 1
fi
echo "known to fail, from KNOWN-RED.txt:"
cat KNOWN-RED.txt
