#!/usr/bin/env bash
# Runs soaks in which daemons of earlier commits are replaced by the current build and back.
# Arguments are the commits, or paths of earlier daemon programs. SEED, SEEDS, DURATION and
# DAEMONS set the runs; SOAK_ARGS holds further options of standin soak. A commit that the
# history does not hold is skipped.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly SEED=${SEED:-1} SEEDS=${SEEDS:-1} DURATION=${DURATION:-20s} DAEMONS=${DAEMONS:-4}
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT

# build COMMIT builds the daemon of a commit and sets earlier to its path.
build() {
	mkdir -p "$dir/$1"
	git archive "$1" | tar -x -C "$dir/$1"
	(cd "$dir/$1" && go build -o "$dir/samphireturnd-$1" ./cmd/samphireturnd)
	rm -rf "${dir:?}/$1"
	earlier=$dir/samphireturnd-$1
}

[ $# -gt 0 ] || set -- 65b2a42 7fc650c
status=0
for from in "$@"; do
	if [ -f "$from" ]; then
		earlier=$from
	elif git cat-file -e "$from^{commit}" 2>/dev/null; then
		build "$from"
	else
		echo "soak with $from skipped: the commit is not in this history"
		continue
	fi
	echo "soak with $from"
	# shellcheck disable=SC2086 # SOAK_ARGS is a list of options.
	bin/standin soak --daemon bin/samphireturnd --earlier "$earlier" --seed "$SEED" --seeds "$SEEDS" --duration "$DURATION" \
		--daemons "$DAEMONS" ${SOAK_ARGS:-} || status=1
done
exit "$status"
