#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/6 to review/10 into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand2"
mkdir -p ../../target
GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o ../../target/stand2 .
