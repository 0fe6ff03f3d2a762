#!/usr/bin/env bash
# Exits with 1 if a client got a success without Server-Seal, 0 if none did, 2 if the case could not run.
# With TROUBLE=0 the disruption is left out, and nothing else.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/samphireturnd ] && [ -x target/stand2 ] || exit 2
TROUBLE="${TROUBLE:-1}" exec target/stand2 unsealed review/6
