#!/usr/bin/env bash
# Builds the stand-ins of the scripts in this folder into target/. It needs no network.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
cd review/stand
go build -o ../../target/review-stand .
