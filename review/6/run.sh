#!/usr/bin/env bash
# Exits with 1 if a client got a success without Server-Seal, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/samphireturnd ] && [ -x target/stand2 ] || exit 2
exec target/stand2 unsealed review/6
