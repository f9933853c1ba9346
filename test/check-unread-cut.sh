#!/usr/bin/env bash
# Endpoints that cut streams which stay unread. While the caller reads nothing, the request is sent to no further endpoint. Callers that
# read at a crawl have it resumed when they have read what is queued, as often as their route allows. No endpoint is held to have failed
# for it, and the request to have crashed none; others are served.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
start_site
FAILED=0
CALLERS=6 # fewer than the places of one engine
settings 1 | sed 's/"stop_grace_ms"/"memory_mb":4,"stop_grace_ms"/' >"$RUN/gate1.json"
start_gate 1
config 1 key1 | sed '/"ask"/s/"timeout-ms":8000/"timeout-ms":20000/' >"$RUN/config"
tell config -d "@$RUN/config"
wait_for 10 ready 1 200 || is "the gateway gets ready" no yes
metric() { curl -s -m 3 "http://$(node 1 3)/metrics" | awk -v name="bayhoist_$1" '$1 == name { print $2 }'; }
all_arrivals() { echo $(($(arrivals i-e1) + $(arrivals i-e2) + $(arrivals i-e3))); }
all_cut() { [ "$(tell cuts)" -ge "$1" ]; }
over() { [ "$(metric calls)" = 0 ]; }
late=0
others() { # SECONDS: streams of others, one after the other
	local until=$(($(date +%s%N) + $1 * 1000000000))
	while [ "$(date +%s%N)" -lt $until ]; do
		asked=$((asked + 1))
		[ "$(ask 1 /ask/x "other$asked" -m 2)" = 200 ] || late=$((late + 1))
	done
}
asked=0
start unread "$B/bh-slow-callers" "$(node 1 0)" $CALLERS /ask/cut/x key1 0
wait_for 5 all_cut $CALLERS || is "all streams are cut" "$(tell cuts)" $CALLERS
is "each was sent to one endpoint" "$(all_arrivals)" $CALLERS
others 3
is "and to no other, while its caller reads nothing" "$(($(all_arrivals) - asked))" $CALLERS
wait_for 10 over || is "the calls end" "$(metric calls)" 0
is "until the end" "$(($(all_arrivals) - asked))" $CALLERS
signal unread TERM

before=$(tell cuts)
start crawl "$B/bh-slow-callers" "$(node 1 0)" $((CALLERS * 2)) /ask/cut/y key1 40000
others 7
wait_for 10 over || is "the calls end" "$(metric calls)" 0
echo "cut: $before, then $(($(tell cuts) - before)); resumed: $(metric resumes_total); asked: $asked"
is "callers that read on have their streams resumed" "$(($(metric resumes_total) > 0))" 1
is "within what the route allows" "$(($(all_arrivals) - asked <= CALLERS * (1 + 2 * 2)))" 1
is "no endpoint is held to have failed" "$(grep -c 'event=engine what=failed' "$RUN/gate1.log")" 0
is "and no request to have crashed one" "$(grep 'event=crash' "$RUN/gate1.log" | grep -vc proof=denied)" 0
is "others are served" "$late of $asked" "0 of $asked"
exit $FAILED
