#!/bin/sh
# Checks formatting, vet, staticcheck and revive. Prints what is wrong and
# exits 1 if anything is.
set -eu
cd "$(dirname "$0")/.."
bad=$(gofmt -l .)
if [ -n "$bad" ]; then
	echo "not formatted:"
	echo "$bad"
	exit 1
fi
go vet ./...
go tool -modfile=tools/go.mod staticcheck ./...
go tool -modfile=tools/go.mod revive -config tools/revive.toml -set_exit_status ./...
