#!/usr/bin/env bash
# Starts a small installation on loopback, sends requests through it and stops
# it again. Exits 1 if any step went wrong.
set -euo pipefail
cd "$(dirname "$0")/.."

readonly KEY=counter-key
readonly WAIT=20 # seconds
dir=$(mktemp -d)
pids=()

stop() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
	rm -rf "$dir"
}
trap stop EXIT

step() { printf '\n== %s\n' "$*"; }

fail() {
	echo "demo failed: $*" >&2
	for log in "$dir"/*.log; do
		echo "--- $(basename "$log")" >&2
		tail -n 15 "$log" >&2
	done
	exit 1
}

# start NAME COMMAND... runs a process in the background.
start() {
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
}

# until_ok WHAT COMMAND... repeats a command until it succeeds.
until_ok() {
	local what=$1 end=$((SECONDS + WAIT))
	shift
	until "$@" >/dev/null 2>&1; do
		[ "$SECONDS" -lt "$end" ] || fail "$what: not after $WAIT s"
		sleep 0.1
	done
}

# free PORT reports whether nothing listens on a loopback port.
free() { ! (exec 3<>"/dev/tcp/127.0.0.1/$1") 2>/dev/null; }

# pick_base chooses a range of free ports.
pick_base() {
	local try port
	for try in $(seq 50); do
		base=$((20000 + (RANDOM % 1000) * 10 + try))
		for port in $(seq "$base" $((base + 19))); do
			free "$port" || continue 2
		done
		return
	done
	fail "no free ports"
}

# chat URL JSON [CURL OPTIONS...] sends a chat completion and keeps the answer.
chat() {
	local url=$1 json=$2
	shift 2
	curl -sS -m 30 -D "$dir/head" -o "$dir/body" "$@" -H "Authorization: Bearer $KEY" \
		-H 'Content-Type: application/json' -d "$json" "$url/v1/chat/completions" || fail "request to $url"
	status=$(awk 'NR==1{print $2}' "$dir/head")
	version=$(header Samphire-Version)
}

# header NAME prints a header of the last answer.
header() { tr -d '\r' <"$dir/head" | awk -v n="$1:" 'tolower($1)==tolower(n){print $2}'; }

# answered WHAT checks that the last request was answered and says by whom.
answered() {
	[ "$status" = 200 ] || fail "$1: status $status: $(cat "$dir/body")"
	echo "$1: answered by $version"
}

prompt() { printf '{"model":"%s","messages":[{"role":"user","content":"%s"}],"max_tokens":24%s}' "$1" "$2" "${3:-}"; }

# works URL MODEL reports whether a request is answered.
works() {
	[ "$(curl -sS -m 5 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $KEY" \
		-d "$(prompt "$2" ready)" "$1/v1/chat/completions")" = 200 ]
}

ctl() { bin/samphirectl --platform "$platform" --author demo "$@"; }

pick_base
addr() { echo "127.0.0.1:$((base + $1))"; }
platform=http://$(addr 0)

step "start the platform, four engines and a plain service"
start platform bin/standin platform --listen "$(addr 0)" --lag 200ms
start engine1 bin/standin engine --listen "$(addr 1)" --id engine1 --version small@v1 --warm 500ms --quality 0.6
start engine2 bin/standin engine --listen "$(addr 2)" --id engine2 --version small@v2 --warm 500ms --quality 0.6
start engine3 bin/standin engine --listen "$(addr 3)" --id engine3 --version large@v1 --warm 500ms --quality 0.95
start engine4 bin/standin engine --listen "$(addr 4)" --id engine4 --version large@v1 --version small@v1 --warm 500ms --quality 0.9
start tickets bin/standin service --listen "$(addr 5)" --id tickets1
until_ok platform curl -sSf "$platform/v1/calls"
vm() { curl -sSf -X PUT -d "$2" "$platform/v1/vms/$1" >/dev/null || fail "list VM $1"; }
engine() { vm "$1" "{\"id\":\"$1\",\"role\":\"engine\",\"centre\":\"$2\",\"addr\":\"$3\"}"; }
engine engine1 north "$(addr 1)"
engine engine2 north "$(addr 2)"
engine engine3 north "$(addr 3)"
engine engine4 south "$(addr 4)"
vm tickets1 "{\"id\":\"tickets1\",\"role\":\"service\",\"service\":\"tickets\",\"centre\":\"north\",\"addr\":\"$(addr 5)\"}"

step "start three daemons in two data centres"
daemon() {
	local id=$1 centre=$2 listen=$3 peer=$4
	cat >"$dir/$id.toml" <<TOML
id = "$id"
centre = "$centre"
listen = "$listen"
peer = "$peer"
platform = "$platform"
fleet = "the fleet key of the demo"
seeds = ["$(addr 7)", "$(addr 11)"]
level = "info"

[limits]
notice = 500
TOML
	vm "$id" "{\"id\":\"$id\",\"role\":\"entry\",\"centre\":\"$centre\",\"addr\":\"$listen\",\"peer\":\"$peer\"}"
	start "$id" bin/samphireturnd "$dir/$id.toml"
}
daemon entry1 north "$(addr 6)" "$(addr 7)"
daemon entry2 north "$(addr 8)" "$(addr 9)"
daemon entry3 south "$(addr 10)" "$(addr 11)"
north=http://$(addr 6)
north2=http://$(addr 8)
south=http://$(addr 10)
for url in "$north" "$north2" "$south"; do until_ok "$url" curl -sSf "$url/livez"; done

step "apply a configuration"
cp examples/config.toml "$dir/config.toml"
ctl apply --wait "$dir/config.toml" || fail "apply"
for url in "$north" "$north2" "$south"; do until_ok "$url" curl -sSf "$url/readyz"; done
for url in "$north" "$north2"; do
	until_ok "small at $url" works "$url" small
	until_ok "large at $url" works "$url" large
done
until_ok "small at $south" works "$south" small

step "send requests"
chat "$north" "$(prompt small 'How many lanterns are left?')"
answered "cheap request"
chat "$north2" "$(prompt large 'Write an itinerary.' ',"stream":true')"
answered "streamed request"
grep -q '^data: \[DONE\]' "$dir/body" || fail "the stream has no end"
chat "$north" "$(prompt draft 'Draft an answer to a buyer.')"
answered "cascade"
token=
for n in 1 2 3; do
	url=$north
	[ "$n" = 2 ] && url=$north2
	chat "$url" "$(prompt small "turn $n")" ${token:+-H "Samphire-Session: $token"}
	answered "session, turn $n"
	[ "$n" = 1 ] && first=$version
	[ "$version" = "$first" ] || fail "the session moved from $first to $version"
	token=$(header Samphire-Session)
done

book() {
	curl -sS -m 30 -D "$dir/head" -o "$dir/body" -X POST "$@" -H "Authorization: Bearer $KEY" \
		-d '{"slot":7}' "$north/v1/services/tickets/bookings" || fail "booking"
	status=$(awk 'NR==1{print $2}' "$dir/head")
}
book -H 'Idempotency-Key: booking-1'
[ "$status" -lt 300 ] || fail "booking: status $status: $(cat "$dir/body")"
cp "$dir/body" "$dir/booking"
echo "plain call that may not be repeated: $(cat "$dir/body")"
book -H 'Idempotency-Key: booking-1'
cmp -s "$dir/body" "$dir/booking" || fail "the repeated call was answered with: $(cat "$dir/body")"
echo "the same call again: answered from its record"
id=$(curl -sS -m 10 -X POST -H "Authorization: Bearer $KEY" -d '{"count":1}' "$north2/v1/ids" | grep -o '"[A-Za-z0-9_.-]\{40,\}"' | head -n 1 | tr -d '"')
[ -n "$id" ] || fail "no request id"
curl -sS -m 10 -X POST -H "Authorization: Bearer $KEY" -H "Samphire-Request: $id" -d '{"slot":8}' \
	"$north/v1/services/tickets/bookings" >"$dir/body" || fail "booking by request id"
grep -q booking "$dir/body" || fail "booking by request id: $(cat "$dir/body")"
echo "with a request id minted by the other daemon: $(cat "$dir/body")"

step "switch the preset in force"
ctl preset use peak --wait || fail "preset use peak"
chat "$north" "$(prompt draft 'Draft another answer.')"
answered "cascade under the preset peak"
ctl preset use ordinary --wait || fail "preset use ordinary"

step "take the data centre north out and back"
ctl out north --wait || fail "out north"
until_ok "overflow" works "$north" small
chat "$north" "$(prompt small 'Who answers now?')"
answered "request at north while it is out"
served=$(curl -sS "http://$(addr 1)/report" "http://$(addr 2)/report" "http://$(addr 3)/report")
chat "$north2" "$(prompt large 'And now?')"
answered "another"
ctl in north --wait || fail "in north"
until_ok "north is back" works "$north" large
chat "$north" "$(prompt large 'Is north back?')"
answered "request at north after its return"

step "counters of entry1"
curl -sS "$north/debug/vars" | grep -E '"(receiver|router|admitter|limiter|dispatcher|watcher|claimer|biller)_' || fail "no counters"

step "status"
ctl status || fail "status"

step "stop the daemons, then show the usage"
for pid in "${pids[@]:6:3}"; do kill "$pid"; done
for pid in "${pids[@]:6:3}"; do wait "$pid" || fail "a daemon did not stop cleanly"; done
ctl usage || fail "usage"

echo
echo "demo passed"
