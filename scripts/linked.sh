#!/usr/bin/env bash
# Checks that the programs are linked to the C library in the usual, dynamic way.
set -euo pipefail
cd "$(dirname "$0")/.."
for program in samphireturnd samphirectl standin; do
	if ! readelf -d "bin/$program" | grep -q 'NEEDED.*libc\.so'; then
		echo "bin/$program is not linked to the C library"
		exit 1
	fi
done
