#!/usr/bin/env bash
# Measures on loopback what a hop through a daemon adds to a request of a local
# engine, streamed and not, and the answers a second of a daemon that runs on
# one core (GOMAXPROCS=1). Direct and through take turns in the same run. The
# bound on the ratio is for the engine that does no work; an engine that takes
# the stand-in's usual time for a token is shown beside it.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly COUNT=${COUNT:-2000} WAIT=20 # requests, seconds
readonly SLOW=60                      # requests of the engine that takes its time
dir=$(mktemp -d)
pids=()

stop() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop EXIT

# start NAME COMMAND... runs a process in the background.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

base=$((21000 + RANDOM % 20000))
addr() { echo "127.0.0.1:$((base + $1))"; }
platform=http://$(addr 0)
engine=http://$(addr 1)
through=http://$(addr 2)

start platform bin/standin platform --listen "$(addr 0)" --lag 10ms
start engine bin/standin engine --listen "$(addr 1)" --id engine1 --version large@v1 --warm 1ns \
	--budget 1000000000 --speed 1000000000 --prefill 1000000000 --word 1ns --cache 0 --resume 20ms
start engine2 bin/standin engine --listen "$(addr 6)" --id engine2 --version small@v1 --warm 1ns --budget 1000000000
# daemon ID LISTEN PEER starts a daemon on one core.
daemon() {
	cat >"$dir/$1.toml" <<TOML
id = "$1"
centre = "north"
listen = "$2"
peer = "$3"
platform = "$platform"
fleet = "the fleet key of the bench"
level = "error"
TOML
	start "$1" env GOMAXPROCS=1 bin/samphireturnd "$dir/$1.toml"
}
daemon entry1 "$(addr 2)" "$(addr 3)"
entry1=${pids[-1]}
daemon entry2 "$(addr 4)" "$(addr 5)" # keeps the copies of usage records
sed -E 's/^(concurrent|tokens) = .*/\1 = 0/' examples/config.toml >"$dir/config.toml"

ready() {
	curl -sSf -X PUT -d "{\"id\":\"engine2\",\"role\":\"engine\",\"centre\":\"north\",\"addr\":\"$(addr 6)\"}" "$platform/v1/vms/engine2" &&
		curl -sSf -X PUT -d "{\"id\":\"engine1\",\"role\":\"engine\",\"centre\":\"north\",\"addr\":\"$(addr 1)\"}" "$platform/v1/vms/engine1" &&
		curl -sSf -X PUT -d "{\"id\":\"entry2\",\"role\":\"entry\",\"centre\":\"north\",\"addr\":\"$(addr 4)\",\"peer\":\"$(addr 5)\"}" "$platform/v1/vms/entry2" &&
		curl -sSf -X PUT -d "{\"id\":\"entry1\",\"role\":\"entry\",\"centre\":\"north\",\"addr\":\"$(addr 2)\",\"peer\":\"$(addr 3)\"}" "$platform/v1/vms/entry1" &&
		bin/samphirectl --platform "$platform" --author bench apply "$dir/config.toml"
}
works() {
	curl -sSf -m 5 -o /dev/null -H "Authorization: Bearer counter-key" \
		-d '{"model":"large","messages":[{"role":"user","content":"ready"}],"max_tokens":4}' "$through/v1/chat/completions"
}
for step in ready works; do
	end=$((SECONDS + WAIT))
	until $step >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || { echo "bench: $step: not after $WAIT s" >&2; tail -n 5 "$dir"/*.log >&2; exit 1; }
		sleep 0.2
	done
done

# used prints the processor time in microseconds that entry1 has used.
used() { awk -v hz="$(getconf CLK_TCK)" '{print ($14 + $15) * 1000000 / hz}' "/proc/$entry1/stat"; }

# busy COUNT OPTIONS... runs a load and prints entry1's processor time an answer.
busy() {
	local before
	before=$(used)
	load --count "$@"
	echo "processor time of the daemon: $((($(used) - before) / $1)) us an answer"
}

load() { bin/standin load --url "$through" --base "$engine" --key counter-key --model large@v1 "$@"; }
slow() { bin/standin load --url "$through" --base "http://$(addr 6)" --key counter-key --model small@v1 --count "$SLOW" "$@"; }
sleep 3 # links between the daemons
load --count 500 >/dev/null # connections and caches
echo "== unloaded (1 client), whole answers of 16 tokens"
load --count "$COUNT"
echo "== unloaded (1 client), streams of 16 tokens"
load --count "$COUNT" --stream
echo "== unloaded (1 client), an engine of 5 ms a token, whole answers of 16 tokens"
slow
echo "== unloaded (1 client), an engine of 5 ms a token, streams of 16 tokens"
slow --stream
echo "== 16 clients, whole answers; daemon on one core, engine and callers on all"
busy $((COUNT * 4)) --clients 16
echo "== 16 clients, streams"
busy $((COUNT * 4)) --clients 16 --stream
