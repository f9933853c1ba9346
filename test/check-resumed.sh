#!/usr/bin/env bash
# A stream is resumed at an engine that answers with something else. Guards against bytes of that answer, the body of a 500
# first of all, between the events of the caller's stream.
set -u
. test/cluster.sh
begin_run
. test/gate.sh
FAILED=0
ATTEMPTS=${ATTEMPTS:-3}
engines=
for n in $(seq 4 10); do engines="$engines --engine i-e$n=$(address $((100 + n)))"; done
start_site $engines
ASK_ATTEMPTS=$ATTEMPTS
MORE_SETTINGS='"repeat_extra":1000,' # which all these retries fit in
start_three_gates
ids() { event_ids "$RUN/body"; }
foreign() { foreign_lines "$RUN/body"; }
n=0
# Each of these comes second, after an engine that broke off behind four events.
for kind in ${KINDS:-500 500-chunked 500-bare 503 not-run 504 429 404 302 204 206 text coded unsigned anew skip no-id half prefix none comment}; do
	n=$((n + 1))
	status=$(ask $((n % 3 + 1)) "/ask/break/then=next-$kind/x" "k$n" -D "$RUN/head")
	ended=$?
	wait_for 2 grep -q "event=end request=k$n " "$RUN"/gate1.log "$RUN"/gate2.log "$RUN"/gate3.log
	if [ "$ATTEMPTS" = 3 ]; then
		is "$kind: the stream comes whole from a third engine" "$status $ended $(ids)" "200 0 1 2 3 4 5 6 7 8 9 10 "
		is "$kind: from three engines" "$(cat "$RUN"/gate?.log | grep -c "event=sent request=k$n ")" 3
	else
		is "$kind: the stream is broken off, so that the caller can tell" "$status $((ended != 0)) $(ids)" "200 1 1 2 3 4 "
	fi
	is "$kind: no foreign byte in it" "$(foreign)" 0
	is "$kind: with the head of the first engine" "$(grep -ci '^x-replica-signature: ' "$RUN/head")$(grep -c '^HTTP' "$RUN/head")" 11
	is "$kind: the second dispatch gave nothing" \
		"$("$B/bayhoistctl" explain "k$n" "$RUN"/gate?.log | grep '^dispatch' | sed -n 2p | grep -c 'no numbered events, 0 bytes')" 1
done
# Nothing is put behind an answer that can't be continued.
status=$(ask 1 /ask/answer=first-no-id/x p1)
is "a stream without ids is broken off with its engine" "$status $(($? != 0)) $(grep -c . "$RUN/body")" "200 1 1"
is "and runs once" "$(tell 'runs?id=p1')" 1
status=$(ask 2 /ask/answer=first-plain/x p2)
is "so is a plain answer that has outgrown its buffer" "$status $(($? != 0)) $(grep -vc 'plain text' "$RUN/body")" "200 1 0"
is "and runs once" "$(tell 'runs?id=p2')" 1
is "a failure that outgrows it is not handed on" "$(ask 3 /ask/answer=first-500-large/x p3) $(ids)$(foreign)" "200 1 2 3 4 5 6 7 8 9 10 0"
is "a caller over HTTP/1.0 gets it whole" "$(ask 1 /ask/break/then=next-500/x h0 --http1.0) $(ids)$(foreign)" \
	"$([ "$ATTEMPTS" = 3 ] && echo '200 1 2 3 4 5 6 7 8 9 10 0' || echo '200 1 2 3 4 0')"
[ "$ATTEMPTS" != 3 ] || ATTEMPTS=2 bash "$0" || FAILED=1
exit $FAILED
