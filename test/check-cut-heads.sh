#!/usr/bin/env bash
# An endpoint stops in the middle of its answer's head and closes, in good order or with a reset. Guards against such a head as a whole answer.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
WHOLE="1 2 3 4 5 6 7 8 9 10 "
CUTS="nothing version status code reason line half-line name colon value half-value plain last half-last close length in-length no-length
	chunked 204 304 500 not-run interim interim-last after-interim after-100 after-101 after-length second-line second-head"
engines=
for n in $(seq 4 10); do MORE_LINKS="${MORE_LINKS:-} --link e$n=$(address $((130 + n))),$(address $((100 + n)))"; done
for n in 3 4 5 6; do MORE_LINKS="$MORE_LINKS --link p$n=$(address $((150 + n))),$(address $((120 + n)))"; done
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n))),$(address $((130 + n)))"; done
plain=
for n in 3 4 5 6; do plain="$plain --plain i-p$n=$(address $((120 + n))),$(address $((150 + n)))"; done
start_site_behind_proxy $engines $plain
ENDPOINT_LINKS="e1 e2 e3 e4 e5 e6 e7 e8 e9 e10 p1 p2 p3 p4 p5 p6"
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
ASK_ATTEMPTS=3
start_three_gates
# Two requests on one connection of the caller, the second one to sound endpoints; prints "status ended" of the first.
pair() { # N PATH ID [CURL OPTIONS...]
	local n=$1 path=$2 id=$3
	local common=(-s -m 12 -H 'Host: a.example' -H 'X-Time-Budget-Ms: 9000' -H "X-Api-Key: $CALLER_KEY")
	shift 3
	curl "${common[@]}" -o "$RUN/body.$id" -w '%{http_code} %{exitcode}' -H "X-Attempt-Id: $id" "$@" "http://$(node "$n" 0)$path" \
		--next "${common[@]}" -o "$RUN/body.n-$id" -D "$RUN/head.n-$id" -w ' %{http_code} %{num_connects}' -H "X-Attempt-Id: n-$id" \
		"http://$(node "$n" 0)/free/x" >"$RUN/told.$id"
	cut -d' ' -f1,2 "$RUN/told.$id"
}
next() { # ID: of the second request: its status, the connections that it needed, its lines, and whether the answer is its own
	echo "$(cut -d' ' -f3,4 "$RUN/told.$1") $(wc -l <"$RUN/body.n-$1") $(grep -ci "^x-attempt-id: n-$1.\$" "$RUN/head.n-$1")"
}
PROMPT=(-H 'X-Token-Usage: 3000,100' -d 'a prompt')
stream() { # ID: its events, and how many of its lines are none of an engine's
	echo "$(event_ids "$RUN/body.$1")$(foreign_lines "$RUN/body.$1")"
}
failure() { # ID: how many lines of its body are a failure of the gateway's own
	grep -c '"error"' "$RUN/body.$1"
}
runs() { tell "runs?id=$1"; }
OWN="200 0 3 1" # of the second request, on the connection of the first
cuts() { for kind in $CUTS; do echo "cut-$kind reset-cut-$kind"; done; }
at_gateway() { # LABEL N GATEWAYS: each of these answers whose turn it is
	local label=$1 n=$2 id kind row=0
	for kind in $(cuts); do
		row=$((row + 1))
		[ $((row % $3 + 1)) = "$n" ] || continue
		id=$label-$kind
		is "$id: a stream comes whole from another engine" "$(pair "$n" "/ask/answer=$kind/x" "a-$id" "${PROMPT[@]}") $(stream "a-$id")" "200 0 ${WHOLE}0"
		is "$id: the next request after it" "$(next "a-$id")" "$OWN"
		is "$id: one that breaks off, and is to be gone on with so, comes whole" \
			"$(pair "$n" "/ask/break/resumed=$kind/x" "r-$id" "${PROMPT[@]}") $(stream "r-$id")" "200 0 ${WHOLE}0"
		is "$id: from three engines" "$(runs "r-$id")" 3
		is "$id: the next request after it" "$(next "r-$id")" "$OWN"
		is "$id: what may be repeated comes whole from another endpoint" "$(pair "$n" "/free/answer=$kind/x" "f-$id") $(wc -l <"$RUN/body.f-$id")" "200 0 3"
		is "$id: the next request after it" "$(next "f-$id")" "$OWN"
		is "$id: fails with two such answers" "$(pair "$n" "/free/answer=$kind/then=$kind/x" "t-$id") $(failure "t-$id")" "502 0 1"
		is "$id: the next request after it" "$(next "t-$id")" "$OWN"
		is "$id: what may run only once fails" "$(pair "$n" "/once/answer=$kind/x" "o-$id" -d x) $(failure "o-$id")" "502 0 1"
		is "$id: and runs once" "$(runs "o-$id")" 1
		is "$id: the next request after it" "$(next "o-$id")" "$OWN"
	done
	return $FAILED
}
begin() { # LABEL GATEWAYS: at several gateways at once
	local n callers=()
	for n in $(seq "$2"); do
		at_gateway "$1" "$n" "$2" &
		callers+=($!)
	done
	for n in "${callers[@]}"; do wait "$n" || FAILED=1; done
}
begin direct 3
relayed() { cat "$RUN"/gate[12].log | grep -c 'event=relay what=through'; }
before=$(relayed)
cut_endpoints reset 1 2
for i in 1 2 3 4; do for n in 1 2; do call $n /free/x "look$n$i" >/dev/null; ask $n /ask/x "learn$n$i" >/dev/null; done; done
sleep 0.5
begin relay 2
is "requests went through a peer: $(($(relayed) - before))" "$(($(relayed) - before > 500))" 1
cut_endpoints pass 1 2

# With two attempts such a stream can't go on, and its caller can tell.
ASK_ATTEMPTS=2 config 2 key1 >"$RUN/config"
tell config -d "@$RUN/config"
sleep 2
for kind in $(cuts); do
	status=$(ask 3 "/ask/break/resumed=$kind/x" "b-$kind")
	is "$kind: a stream that can't be gone on with is broken off" "$status $(($? != 0)) $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 1 1 2 3 4 0"
	is "$kind: one that gets two such answers fails" "$(ask 3 "/ask/answer=$kind/then=$kind/x" "w-$kind") $(grep -c '"error"' "$RUN/body")" "502 1"
done
exit $FAILED
