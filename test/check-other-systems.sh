#!/usr/bin/env bash
# Entries among the endpoints' own whose address is another system's: the store's, or a gateway's. Guards against its answer as the
# endpoint's own: callers got the store's 404 and the gateway's 401.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
LOOKUPS=30
PROMPTS=12
PROMPTS_MAX=120 # until one has met the address
WHOLE="1 2 3 4 5 6 7 8 9 10 "
start_site
ONCE_ATTEMPTS=2
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
start_three_gates
write_entry() { # ID SERVICE ADDRESS: as the endpoints write theirs
	local text="{\"service\":\"$2\",\"address\":\"$3\",\"zone\":\"h1\",\"version\":\"v1\",\"slots\":16,\"state\":\"ready\",\"sequence\":1,\"born\":1}"
	curl -s -m 3 -o "$RUN/put" "http://$STORE/kv-txn" -d "{\"put\":[{\"private-key\":\"servers/$1\",\"value\":\"$(printf %s "$text" | base64 -w 0)\"}]}"
}
remove_entry() { curl -s -m 3 -o "$RUN/put" "http://$STORE/kv-txn" -d "{\"remove\":[\"servers/$1\"]}"; }
dispatches() { # ID: to an entry, by the logs of the gateways
	cat "$RUN"/gate?.log "$RUN"/gate?.out 2>/dev/null | grep -c "event=sent .*endpoint=$1 "
}
use() { # ID SERVICE ADDRESS: from now on, with the gateways aware of it
	write_entry "$@"
	sleep 1.5
}
prompts() { # NAME: twelve more, all at once, so that they go to all engines; counted in `sent`, and in `whole` if their streams are
	local n callers=() first=$((sent + 1))
	sent=$((sent + PROMPTS))
	for n in $(seq $first $sent); do
		mkdir "$RUN/$1-s$n"
		(RUN="$RUN/$1-s$n"; ask $((n % 3 + 1)) /ask/x "$1-s$n" >"$RUN/status") &
		callers+=($!)
	done
	wait "${callers[@]}"
	for n in $(seq $first $sent); do
		[ "$(cat "$RUN/$1-s$n/status") $(event_ids "$RUN/$1-s$n/body")$(foreign_lines "$RUN/$1-s$n/body")" = "200 ${WHOLE}0" ] && whole=$((whole + 1))
	done
}
try() { # NAME ADDRESS
	local n status ran served=0 whole=0 sent=0 once=0 others=0
	use "i-$1-free" web "$2"
	for n in $(seq $LOOKUPS); do
		status=$(call $((n % 3 + 1)) /free/x "$1-l$n")
		[ "$status" = 200 ] && served=$((served + 1))
	done
	is "$1: lookups that another endpoint serves" $served $LOOKUPS
	remove_entry "i-$1-free"
	use "i-$1-engine" llm "$2"
	while [ "$(dispatches "i-$1-engine")" = 0 ] && [ $sent -lt $PROMPTS_MAX ]; do prompts "$1"; done
	is "$1: streams that come whole from an engine" $whole $sent
	remove_entry "i-$1-engine"
	use "i-$1-once" web "$2"
	for n in $(seq $LOOKUPS); do
		status=$(call $((n % 3 + 1)) /once/x "$1-o$n" -d body)
		ran=$(tell "runs?id=$1-o$n")
		case "$status $ran" in
		"200 1") once=$((once + 1)) ;;
		"502 0") others=$((others + 1)) ;;
		*) is "$1: what may run only once gets a 502, or an endpoint's answer" "$status after $ran runs" "either" ;;
		esac
	done
	is "$1: some requests that may run only once met it and got a 502" "$((others > 0))" 1
	is "$1: the address is avoided: of $LOOKUPS of them $others got a 502" "$((others <= LOOKUPS / 5))" 1
	is "$1: all others were served once" $((once + others)) $LOOKUPS
	remove_entry "i-$1-once"
	for n in free engine once; do is "$1: its entry for $n was used" "$(($(dispatches "i-$1-$n") > 0))" 1; done
	sleep 1
}
try store "$STORE"
try gateway "$(node 2 0)"
is "all are served when the entries are gone" "$(call 1 /free/x last) $(call 2 /once/x last-once) $(ask 3 /ask/x last-stream)" "200 200 200"
exit $FAILED
