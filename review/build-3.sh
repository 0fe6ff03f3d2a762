#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/11 to review/15 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand3"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/stand3 .
