#!/usr/bin/env bash
# Measures what a daemon spends on control at several sizes of a data centre and
# prints a line for each. Everything runs on loopback and is stopped again.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly SETTLE=8 # seconds
readonly TIME=${TIME:-10s}
readonly HOST=127.0.0.1
dir=$(mktemp -d)
pids=()

stop() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	pids=()
}
trap 'stop; rm -rf "$dir"' EXIT

start() {
	local log=$1
	shift
	"$@" >"$dir/$log.log" 2>&1 &
	pids+=($!)
}

# measure DAEMONS ENGINES CENTRES measures one size; daemons and engines are
# those of each data centre.
measure() {
	local daemons=$1 engines=$2 centres=$3 platform=http://$HOST:19000
	local c i n=0 listen args=()
	start platform bin/standin platform --listen "$HOST:19000"
	until curl -sSf "$platform/v1/calls" >/dev/null 2>&1; do sleep 0.1; done
	printf '%s\n' "$(sed 's/^name = "north"$/name = "c0"/; s/^name = "south"$/name = "c1"/' examples/config.toml)" >"$dir/config.toml"
	bin/samphirectl --platform "$platform" --author slopes apply "$dir/config.toml" >/dev/null
	for c in $(seq 0 $((centres - 1))); do
		start "pool$c" bin/standin pool --listen "$HOST:$((21000 + c * 1000))" --count "$engines" --prefix "e$c-" \
			--centre "c$c" --platform "$platform" --version small@v1
		for i in $(seq "$daemons"); do
			listen=$HOST:$((19100 + n))
			cat >"$dir/d$n.toml" <<TOML
id = "d$n"
centre = "c$c"
listen = "$listen"
peer = "$HOST:$((19500 + n))"
platform = "$platform"
fleet = "the fleet key of the slopes"
level = "error"
TOML
			curl -sSf -X PUT -d "{\"id\":\"d$n\",\"role\":\"entry\",\"centre\":\"c$c\",\"addr\":\"$listen\",\"peer\":\"$HOST:$((19500 + n))\"}" \
				"$platform/v1/vms/d$n" >/dev/null
			start "d$n" bin/samphireturnd "$dir/d$n.toml"
			args+=(--daemon "http://$listen")
			n=$((n + 1))
		done
	done
	sleep "$SETTLE"
	bin/standin sample "${args[@]}" --platform "$platform" --time "$TIME" --label "daemons $daemons engines $engines centres $centres"
	stop
}

sizes=${*:-"2:63:1 8:63:1 23:63:1 32:63:1 2:630:1 8:630:1 23:630:1 8:63:2"}
for size in $sizes; do
	IFS=: read -r daemons engines centres <<<"$size"
	measure "$daemons" "$engines" "$centres"
done
