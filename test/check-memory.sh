#!/usr/bin/env bash
# Memory that is set aside on engines for a prompt which another engine answers. An engine fell silent, without a
# reset and with all bytes acknowledged, 0.4 s after it was sent a prompt of 407,595 tokens; the gateway waited to
# the caller's time limit and renewed the memory on the helpers for 8.1 s, which nobody used any more.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
engines=
for n in 4 5 6 7 8 9 10 11 12 13 14 15 16; do engines="$engines --engine i-e$n=$(address $((100 + n)))"; done
start_site $engines
settings 1 >"$RUN/gate1.json"
start_gate 1
config 1 key1 | sed 's/"target-latency-ms":300,"service":"llm"/"target-latency-ms":3000,"service":"llm"/; s/"gap_aim_ms":200/"gap_aim_ms":800/' \
	>"$RUN/config"
tell config -d "@$RUN/config"
wait_for 10 ready 1 200 || is "the gateway gets ready" no yes
over_one() { call 1 "$1" "$2" -H 'X-Token-Usage: 500000,100' -d 'a long prompt' >"$RUN/status.$2"; }
over_one /ask/hold/x m1
is "a prompt that one engine does not hold is served" "$(cat "$RUN/status.m1")" 200
is "with memory on another" "$(($(tell reserves) > 0))" 1
# An endpoint of a grant was gone by the time that memory on the others was set aside, and the gateway used what it no
# longer knew of it: it ended by itself, with a segmentation fault.
tell slow-orders
for try in 1 2 3; do
	for n in $(seq 1 16); do tell "gone?id=i-e$n" >/dev/null; done
	over_one /ask/x m3$try
	is "a prompt whose engines go is answered all the same" "$([ "$(cat "$RUN/status.m3$try")" != 000 ] && echo yes)" yes
	for n in $(seq 1 16); do tell "back?id=i-e$n" >/dev/null; done
	sleep 0.7
done
is "a gateway lives on when endpoints go while memory is set aside" "$(curl -s "http://$(node 1 3)/metrics" | grep -c '^bayhoist_requests_total')" 1
tell quick-orders

over_one /ask/dark/x m2 &
caller=$!
sleep 1
before=$(tell reserves)
is "memory is set aside for another" "$((before > 0))" 1
sleep 4
is "memory is not renewed behind an engine that is silent and does not listen" "$(tell reserves)" "$before"
wait $caller

exit $FAILED
