#!/usr/bin/env bash
# Heads of endpoints that are none by RFC 9110 and 9112: a status that is no status, a blank or a control byte in a
# field's name, a folded line. Guards against such a head as an answer: what a lenient parser takes for a field of its own
# may have been the framing, the id or the proof to another reader.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
WHOLE="1 2 3 4 5 6 7 8 9 10 "
KINDS=$(grep -o '{"head-[a-z0-9-]*"' test/platform/fake_answers.c | tr -d '{"')
for n in $(seq 4 10); do MORE_LINKS="${MORE_LINKS:-} --link e$n=$(address $((130 + n))),$(address $((100 + n)))"; done
for n in 3 4 5 6; do MORE_LINKS="$MORE_LINKS --link p$n=$(address $((150 + n))),$(address $((120 + n)))"; done
engines=
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n))),$(address $((130 + n)))"; done
plain=
for n in 3 4 5 6; do plain="$plain --plain i-p$n=$(address $((120 + n))),$(address $((150 + n)))"; done
start_site_behind_proxy $engines $plain
ENDPOINT_LINKS="e1 e2 e3 e4 e5 e6 e7 e8 e9 e10 p1 p2 p3 p4 p5 p6"
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
ASK_ATTEMPTS=3
start_three_gates
failure() { grep -c '"error"' "$RUN/body"; } # how many lines of the body are a failure of the gateway's own
is "there are kinds: $(wc -w <<<"$KINDS")" "$(($(wc -w <<<"$KINDS") > 20))" 1
answers() { # LABEL GATEWAYS
	local kind id n=0 gate gates=($2)
	for kind in $KINDS; do
		n=$((n + 1))
		gate=${gates[$((n % ${#gates[@]}))]}
		id=$1-$kind
		is "$id: a lookup comes whole from another endpoint" "$(call $gate "/free/answer=$kind/x" "f-$id" -D "$RUN/head") $(wc -l <"$RUN/body") $(grep -ciE '^ *x.?bad|^x-a:| folded' "$RUN/head")" "200 3 0"
		is "$id: what may run only once fails, and ran once" "$(call $gate "/once/answer=$kind/x" "o-$id" -d x) $(failure) $(tell "runs?id=o-$id")" "502 1 1"
		is "$id: a stream comes whole from another engine" "$(ask $gate "/ask/answer=$kind/x" "a-$id") $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 ${WHOLE}0"
		is "$id: one that is resumed goes on at a third one" "$(ask $gate "/ask/break/resumed=$kind/x" "r-$id") $(event_ids "$RUN/body")$(foreign_lines "$RUN/body")" "200 ${WHOLE}0"
	done
	is "$1: a head with all that names and values may hold is handed on" "$(call ${gates[0]} /once/answer=sound/x "s-$1" -D "$RUN/head") $(cat "$RUN/body") $(grep -c '^X-Odd' "$RUN/head")" "200 whole 1"
	is "$1: an answer with trailers is" "$(call ${gates[0]} /once/answer=trailer/x "t-$1") $(cat "$RUN/body")" "200 whole"
}
answers direct "1 2 3"

cut_endpoints reset 1 2
for i in 1 2 3 4; do for g in 1 2; do call $g /free/x "look$g$i" >/dev/null; ask $g /ask/x "learn$g$i" >/dev/null; done; done
sleep 0.5
relayed() { cat "$RUN"/gate[12].log | grep -c 'event=relay what=through'; }
before=$(relayed)
answers relay "1 2"
is "requests went through a peer: $(($(relayed) - before))" "$(($(relayed) - before > 200))" 1
exit $FAILED
