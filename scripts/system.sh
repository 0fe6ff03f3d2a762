#!/bin/sh
# Builds the daemon as the users' platform does, by the command in
# deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
command=$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/system.toml)
[ -n "$command" ] || { echo "deploy/system.toml names no build"; exit 1; }
sh -c "$command"
